import type { Millis } from "../../../core/clock.ts";
import type { BeginDecision } from "../../../core/gateway/begin_in_time.ts";
import type { Resumption } from "../../../core/gateway/server_pauses.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { ServerId } from "../../../core/ids.ts";
import type { AcquireResult } from "../../../ports/nodes.ts";
import type { AttemptResult } from "./server_attempt.ts";

/** How an attempt ended. */
export type AttemptEndKind = AttemptResult["end"]["kind"];

/** Refusal of a request for the sake of others, or of its deadline. */
export type TurnedAway =
  /** More urgent requests fill the queue. */
  | { readonly kind: "outranked" }
  /** No server can begin it before its deadline. */
  | Extract<BeginDecision, { kind: "too-late" }>;

/** Failed attempts and refusals of one request. */
export class AttemptHistory {
  /** Servers that are not selected while others are available. */
  readonly tried = new Set<ServerId>();
  /** Servers that an attempt may have reached. */
  readonly reached = new Set<ServerId>();
  /** Attempts that a server may have run. */
  runs = 0;
  /** Attempts that no server ran. */
  rejections = 0;
  /** Engine that answered the latest attempt that it does not hold the adapter. */
  deniedBy: ServerId | undefined;
  /** Latest refusal of an engine's owner to make the adapter available. */
  lastRefusal:
    | {
        readonly server: BackendServer;
        readonly reason: Extract<AcquireResult, { kind: "refused" }>["reason"];
      }
    | undefined;

  /** Time at which an engine should hold the model, if none does. */
  modelReadyAt: Millis | undefined;

  /** When the first server takes requests again, if all of them are paused. */
  resumption: Resumption | undefined;

  /** Why the request is refused though servers take others. */
  turnedAway: TurnedAway | undefined;

  private constructor() {}

  static create(): AttemptHistory {
    return new AttemptHistory();
  }

  /** Server that explains why none was found: the first one that ends its pause, or whose owner refused. */
  get refusingServer(): { readonly id: ServerId } | undefined {
    if (this.resumption !== undefined) return { id: this.resumption.server };
    return this.lastRefusal?.server;
  }

  /** Whether no attempt has ended yet. */
  get isEmpty(): boolean {
    return this.runs === 0 && this.rejections === 0;
  }

  get counts(): { readonly runs: number; readonly rejections: number } {
    return { runs: this.runs, rejections: this.rejections };
  }

  /** Counts an attempt that did not give a whole response. */
  recordAttemptEnd(kind: AttemptEndKind, server: ServerId): void {
    const isMisdirected = kind === "misdirected";
    this.deniedBy = isMisdirected ? server : undefined;
    const wasRejected =
      isMisdirected || ["unreachable", "left", "not-run"].includes(kind);
    if (wasRejected) this.rejections++;
    else this.runs++;
    if (!isMisdirected) this.tried.add(server);
    if (kind !== "unreachable" && kind !== "left") this.reached.add(server);
  }
}
