import { type Millis, millis } from "../../../core/clock.ts";
import type { DelayParts } from "../../../core/gateway/engine_backlog.ts";
import type { RequestWork } from "../../../core/gateway/request_work.ts";
import { estimateDistance } from "../../../core/gateway/server_distance.ts";
import {
  endCall,
  learnFirstEvent,
  learnRun,
  startCall,
} from "../../../core/gateway/server_pace.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { GatewayContext } from "../context.ts";

type PaceTrackerOptions = {
  readonly context: GatewayContext;
  /** Time until the first event of an answer, as expected of the mean engine. */
  readonly describeDelay: (
    engine: BackendServer,
    promptTokens: number,
  ) => DelayParts;
  /** Called with the logarithm of the time of a run at an engine to the mean time. */
  readonly onRatio: (engine: BackendServer, logRatio: number) => void;
  /** Tells the other nodes that the requests at a server without models have changed. */
  readonly reportCalls: (server: BackendServer) => void;
};

/** Learns the pace of servers from the answers that this node passes on. */
export class PaceTracker {
  readonly #options: PaceTrackerOptions;

  private constructor(options: PaceTrackerOptions) {
    this.#options = options;
  }

  static create(options: PaceTrackerOptions): PaceTracker {
    return new PaceTracker(options);
  }

  /** Starts to measure a request that is sent to a server. */
  start(
    server: BackendServer,
    { work, isPlain }: MeasuredRequest,
  ): PaceMeasurement {
    const { context, reportCalls } = this.#options;
    const startedAt = context.now();
    // The delay is that of the requests which are at the server before this one.
    const expected = isPlain
      ? undefined
      : this.#options.describeDelay(server, work.promptTokens);
    const distance = estimateDistance(server, context.location);
    const getElapsed = () =>
      millis(Math.max(0, context.now() - startedAt - distance));
    const call = isPlain
      ? startCall(context.paces, server.id, startedAt)
      : undefined;
    return {
      recordSent: () => {
        if (isPlain) reportCalls(server);
      },
      recordEnd: () => {
        if (call === undefined || !endCall(context.paces, call)) return;
        reportCalls(server);
      },
      recordFirstEvent: () => {
        if (expected !== undefined && !this.#isBehind)
          this.#learnFirstEvent(server, expected, getElapsed());
      },
      recordWhole: (runTime) => {
        if (this.#isBehind) return;
        if (isPlain) this.#learnRun(server, work, getElapsed());
        else this.#shareRun(server, this.#learnRun(server, work, runTime));
      },
    };
  }

  /** Whether answers may have come earlier than this process handles them, so that they show no pace. */
  get #isBehind(): boolean {
    return this.#options.context.dependencies.backlog.isBehind;
  }

  #learnFirstEvent(
    server: BackendServer,
    expected: DelayParts,
    elapsed: Millis,
  ): void {
    const { context } = this.#options;
    const now = context.now();
    learnFirstEvent(context.paces, server, { expected, elapsed, now });
  }

  #learnRun(
    server: BackendServer,
    { answerTokens }: RequestWork,
    runTime: Millis,
  ): number | undefined {
    const { context } = this.#options;
    const now = context.now();
    const sample = { answerTokens, runTime, now };
    return learnRun(context.paces, server, sample);
  }

  #shareRun(engine: BackendServer, logRatio: number | undefined): void {
    if (logRatio !== undefined) this.#options.onRatio(engine, logRatio);
  }
}

/** What of a request tells how long it should take. */
type MeasuredRequest = {
  readonly work: RequestWork;
  /** The service has no models. */
  readonly isPlain: boolean;
};

/** Measurement of one request at a server. */
export type PaceMeasurement = {
  /** The server has the request. */
  recordSent(): void;
  /** The server no longer has the request, however that ended. */
  recordEnd(): void;
  /** The first event of a stream arrives. */
  recordFirstEvent(): void;
  /** The answer is whole; `runTime` is the time from its first to its last bytes. */
  recordWhole(runTime: Millis): void;
};
