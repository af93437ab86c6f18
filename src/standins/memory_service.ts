import { type Either, Left, Right } from "purify-ts";
import { type Clock, type Millis, millis, sleep } from "../core/clock.ts";
import type { RequestId } from "../core/ids.ts";
import type {
  ServiceAnswer,
  ServiceCall,
  ServiceFailure,
  ServiceLink,
} from "../ports/service.ts";

/** Fault of the answers: sent after `answerDelay` ms, connection broken after the run, or never sent. */
export type AnswerFault = "none" | "late" | "broken" | "silent";

/** Server of a booking service in memory: POST reserves or takes a deposit, GET looks up. */
export class MemoryService implements ServiceLink {
  fault: AnswerFault = "none";
  answerDelay: Millis = millis(0);
  /** Refuses new calls. */
  leaving = false;
  /** Says in all its answers that it leaves, and still runs calls. */
  isLeaving = false;
  /** Refuses calls and asks for a pause until this time. */
  pausedUntil: Millis = millis(Number.NEGATIVE_INFINITY);
  /** Refuses connections. */
  down = false;
  /** Request ids of the calls that ran, in order. */
  readonly runs: RequestId[] = [];
  readonly #clock: Clock;
  #bookings = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): MemoryService {
    return new MemoryService(clock);
  }

  /** Number of times that a call ran. */
  countRuns(requestId: RequestId): number {
    return this.runs.filter((run) => run === requestId).length;
  }

  /** Runs the call at once, unless the server is leaving. */
  run(call: Pick<ServiceCall, "requestId" | "method" | "path">): ServiceAnswer {
    const { isLeaving } = this;
    if (this.leaving)
      return { ...createAnswer(503, {}), notRun: "leaving", isLeaving };
    const pause = this.pausedUntil - this.#clock.now();
    if (pause > 0) {
      const retryAfter = (pause / 1_000).toFixed(3);
      const refusal = createAnswer(503, {});
      return { ...refusal, notRun: "paused", retryAfter, isLeaving };
    }
    this.runs.push(call.requestId);
    if (call.method === "GET")
      return {
        ...createAnswer(200, { stock: 40, path: call.path }),
        isLeaving,
      };
    this.#bookings++;
    const booking = { path: call.path, booking: this.#bookings };
    return { ...createAnswer(201, booking), isLeaving };
  }

  async call(
    call: ServiceCall,
  ): Promise<Either<ServiceFailure, ServiceAnswer>> {
    if (this.down) return Left({ kind: "not-sent", detail: "Not listening" });
    const result = this.run(call);
    const { fault, answerDelay } = this;
    if (fault === "broken") return Left({ kind: "broken", detail: "Reset" });
    const never = millis(Number.POSITIVE_INFINITY);
    const delay = { none: millis(0), late: answerDelay, silent: never }[fault];
    await sleep(this.#clock, millis(Math.min(delay, call.timeout)));
    if (delay < call.timeout) return Right(result);
    return Left({ kind: "timeout", detail: "No answer" });
  }
}

function createAnswer(status: number, value: unknown): ServiceAnswer {
  const body = Buffer.from(JSON.stringify(value));
  return { status, contentType: "application/json", body };
}
