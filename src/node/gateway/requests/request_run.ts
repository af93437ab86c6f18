import {
  endRun,
  type OpenRun,
  type RunKind,
  startRun,
} from "../../../core/gateway/run_times.ts";
import type { GatewayContext } from "../context.ts";

/** Run of a request at a server, while it is in progress; its time says how long others may take. */
export class RequestRun {
  readonly #context: GatewayContext;
  readonly #kind: RunKind;
  #run: OpenRun | undefined;

  private constructor(context: GatewayContext, kind: RunKind) {
    this.#context = context;
    this.#kind = kind;
  }

  static create(context: GatewayContext, kind: RunKind): RequestRun {
    return new RequestRun(context, kind);
  }

  /** Records that the request is sent to a server. */
  start(): void {
    const { runTimes } = this.#context;
    this.#run = startRun(runTimes, this.#kind, this.#context.now());
  }

  /** Records the end of the run, if there is one. */
  end(isWhole: boolean): void {
    if (this.#run === undefined) return;
    const now = this.#context.now();
    endRun(this.#context.runTimes, this.#run, { isWhole, now });
    this.#run = undefined;
  }
}
