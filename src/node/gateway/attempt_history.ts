import type { BackendServer } from "../../core/gateway/servers.ts";
import type { ServerId } from "../../core/ids.ts";
import type { PlaceAnswer } from "../../ports/gateway.ts";
import type { AttemptResult } from "./server_attempt.ts";

/** How a send ended. */
export type AttemptEndKind = AttemptResult["end"]["kind"];

/** What one request has met with so far. */
export class AttemptHistory {
  /** Servers to leave out while there are others. */
  readonly tried = new Set<ServerId>();
  /** Sends that may have run, and sends that were not run. */
  runs = 0;
  rejections = 0;
  /** Engine that has just answered that it does not hold the adapter. */
  deniedBy: ServerId | undefined;
  /** Engine whose owner refused the adapter last, and why. */
  lastRefusal:
    | {
        readonly server: BackendServer;
        readonly reason: Extract<PlaceAnswer, { kind: "refused" }>["reason"];
      }
    | undefined;

  private constructor() {}

  static create(): AttemptHistory {
    return new AttemptHistory();
  }

  /** No send has ended yet. */
  get isEmpty(): boolean {
    return this.runs === 0 && this.rejections === 0;
  }

  get counts(): { readonly runs: number; readonly rejections: number } {
    return { runs: this.runs, rejections: this.rejections };
  }

  /** Counts a send that brought no answer to pass on. */
  recordAttemptEnd(kind: AttemptEndKind, server: ServerId): void {
    const isMisdirected = kind === "misdirected";
    this.deniedBy = isMisdirected ? server : undefined;
    const wasRejected =
      isMisdirected || ["unreachable", "not-run"].includes(kind);
    if (wasRejected) this.rejections++;
    else this.runs++;
    if (!isMisdirected) this.tried.add(server);
  }
}
