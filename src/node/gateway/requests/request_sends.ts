import { type Millis, millis } from "../../../core/clock.ts";
import { findPlace } from "../../../core/gateway/server_distance.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { StreamCursor } from "../../../core/gateway/stream_cursor.ts";
import type { ProxiedRequest } from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import type { ServerSelection } from "../servers/adapter_selector.ts";
import type { IncarnationWatch } from "../servers/incarnation_watch.ts";
import type { PaceMeasurement, PaceTracker } from "../servers/pace_tracker.ts";
import type { Permit } from "../servers/server_permits.ts";
import type { StreamContinuation } from "../streams/stream_continuation.ts";
import type { AttemptHistory } from "./attempt_history.ts";
import type { PoisonGuard } from "./poison_guard.ts";
import type { RequestPlan } from "./request_intake.ts";
import type { RequestLog } from "./request_log.ts";
import type { RequestRun } from "./request_run.ts";
import { findEngineLevel, findRequestUrgency } from "./request_urgency.ts";
import type { RequestUsage } from "./request_usage.ts";
import type { ResponseForwarder } from "./response_forwarder.ts";
import {
  type AttemptResult,
  ServerAttempt,
  serverLeft,
} from "./server_attempt.ts";

/** Maximum wait for a connection, in ms: the server is told the time that was left before. */
const maxConnectionWait = 400;

type RequestSendsOptions = {
  readonly context: GatewayContext;
  readonly incarnations: IncarnationWatch;
  readonly request: ProxiedRequest;
  readonly plan: RequestPlan;
  readonly history: AttemptHistory;
  readonly cursor: StreamCursor | undefined;
  readonly continuation: StreamContinuation;
  readonly forwarder: ResponseForwarder;
  readonly usage: RequestUsage;
  readonly run: RequestRun;
  readonly paces: PaceTracker;
  readonly log: RequestLog;
  readonly guard: Pick<PoisonGuard, "hasCrashed">;
  /** Whether the request may still be written to a server. */
  readonly mayStart: () => boolean;
  /** Called with bytes of a response, and with the time since the first ones of its server. */
  readonly onRun: (runTime: Millis) => void;
  /** Called in the turn in which the caller has the whole response. */
  readonly onWhole: (server: BackendServer) => void;
};

/** The sends of one request to servers, one after another. */
export class RequestSends {
  readonly #options: RequestSendsOptions;
  #attempt: ServerAttempt | undefined;
  #measurement: PaceMeasurement | undefined;
  #server: BackendServer | undefined;
  #openedAt = millis(Number.POSITIVE_INFINITY);

  private constructor(options: RequestSendsOptions) {
    this.#options = options;
  }

  static create(options: RequestSendsOptions): RequestSends {
    return new RequestSends(options);
  }

  /** Whether a server has the request now. */
  get isOpen(): boolean {
    return this.#attempt !== undefined;
  }

  /** Whether a server has the request and has not begun to answer. */
  get isUnanswered(): boolean {
    return this.#attempt?.hasHead === false;
  }

  /** Server of the latest send. */
  get server(): BackendServer | undefined {
    return this.#server;
  }

  /** Time at which the connection was opened on which that server answers. */
  get openedAt(): Millis {
    return this.#openedAt;
  }

  /** Sends the request to a server; resolves to how that ended. */
  send(
    { server, version: adapterVersion }: ServerSelection,
    permit: Permit,
  ): Promise<AttemptResult> {
    const { context, request, plan, history, cursor } = this.#options;
    const { continuation, forwarder, usage, run, log } = this.#options;
    const { route } = plan;
    const sentAt = context.now();
    const timeLeft = millis(plan.limits.end - sentAt);
    const isAccepted = () =>
      context.now() <= sentAt + Math.min(timeLeft, maxConnectionWait) &&
      context.availability.accepts(server, permit) &&
      this.#options.mayStart();
    if (!isAccepted()) return Promise.resolve(serverLeft);
    const { born, softwareVersion: version } = server;
    log.record("requestSent", { server, version, born });
    context.dependencies.meter.count("gateway_sends_by_place_total", {
      service: server.service,
      place: findPlace(server, context.location),
    });
    this.#server = server;
    run.start();
    const measurement = this.#measure(server);
    this.#measurement = measurement;
    usage.trackSend(server, forwarder.hasStarted);
    return new Promise((resolve) => {
      this.#attempt = ServerAttempt.start({
        context,
        route,
        cursor,
        started: forwarder.startedHead,
        serverRequest: {
          request,
          server,
          isRepeated: history.reached.has(server.id),
          isAccepted,
          timeLeft,
          adapterVersion,
          priority: this.#findEngineLevel(),
          organisation: plan.organisation?.name,
          resumeAfter: cursor?.lastId ?? request.resumeAfter,
        },
        sink: forwarder,
        prove: (times) => {
          this.#openedAt = times.openedAt;
          this.#options.incarnations.recordAnswer(server, times);
          return continuation.provesServer(server, times.openedAt);
        },
        onRun: (runTime) => {
          if (runTime === 0) measurement?.recordFirstEvent();
          this.#options.onRun(runTime);
        },
        hasCrashed: () => this.#options.guard.hasCrashed(server),
        onResult: (result) => {
          this.#attempt = undefined;
          usage.release();
          measurement?.recordEnd();
          const isWhole = result.end.kind === "whole";
          run.end(isWhole);
          if (isWhole && !result.wasPaused)
            measurement?.recordWhole(result.runTime ?? millis(0));
          if (isWhole) this.#options.onWhole(server);
          resolve(result);
        },
      });
      measurement?.recordSent();
    });
  }

  /** Level at which the engine queues the request; undefined for a service without models. */
  #findEngineLevel(): number | undefined {
    const { context, request, plan, forwarder } = this.#options;
    if (request.demand === undefined) return undefined;
    const urgency = findRequestUrgency(request, plan, { hasServer: true });
    const hasBegun = forwarder.hasStarted || request.resumeAfter !== undefined;
    return findEngineLevel(context, urgency, { now: context.now(), hasBegun });
  }

  /** Measures the pace of a server; an answer that continues a stream, or is a model's but no stream, does not show it. */
  #measure(server: BackendServer): PaceMeasurement | undefined {
    const { paces, plan, forwarder, request } = this.#options;
    const isStream = plan.route.retryRule === "stream";
    const isPlain = request.demand === undefined;
    if (forwarder.hasStarted || isStream === isPlain) return undefined;
    return paces.start(server, { work: plan.work, isPlain });
  }

  /** Reads the answer on. */
  resume(): void {
    this.#attempt?.resume();
  }

  /** Ends a send whose server is out of reach as one that may have run. */
  giveUp(): void {
    this.#attempt?.giveUp();
  }

  /** Forgets the server of the latest send, since the answer comes another way. */
  forgetServer(): void {
    this.#server = undefined;
  }

  /** Cancels the request at its server. */
  cancel(): void {
    this.#attempt?.cancel();
    this.#attempt = undefined;
    this.#measurement?.recordEnd();
  }
}
