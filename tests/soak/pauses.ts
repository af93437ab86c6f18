import type { Arrival, Backend, Serve } from "../rig/backend.ts";
import { answerNotExecutedFor } from "../rig/failures.ts";
import type { Calm } from "./calm.ts";
import type { Violation } from "./observations.ts";
import type { RequestLog } from "./request_log.ts";

/** Time for which a server wants no requests, in s. */
const pauseLength = 2;
/** Time after the answer that names a pause from which requests count, in ms. */
const noticeTime = 500;
/** Requests of one machine that may reach the server in its pause. */
const maxInPause = 2;

type Pause = { readonly requestId: string; readonly at: number };

/** Lets servers turn requests away for a time, and counts what reaches them all the same. */
export class Pauses {
  readonly #pauses = new Map<string, Pause[]>();
  readonly #arrivals: Arrival[] = [];
  readonly #calm: Calm;

  private constructor(calm: Calm) {
    this.#calm = calm;
  }

  static create(calm: Calm): Pauses {
    return new Pauses(calm);
  }

  recordArrival(arrival: Arrival): void {
    this.#arrivals.push(arrival);
  }

  /** Lets a server turn all requests away; returns a function that ends this. */
  pause(backend: Backend, log: RequestLog): () => void {
    const sound = backend.serve;
    const fail = answerNotExecutedFor(pauseLength);
    const pausing: Serve = (exchange) => {
      const pauses = this.#pauses.get(backend.id) ?? [];
      pauses.push({ requestId: exchange.requestId, at: performance.now() });
      this.#pauses.set(backend.id, pauses);
      log.recordRefusal(exchange);
      fail(exchange);
    };
    backend.serve = pausing;
    return () => {
      if (backend.serve === pausing) backend.serve = sound;
    };
  }

  /** Arrivals at servers that had told the same machine to wait. */
  findViolations(log: RequestLog): Violation[] {
    const counts = new Map<string, number>();
    for (const { backend, requestId, at } of this.#arrivals) {
      const machine = log.find(requestId)?.machine;
      if (machine === undefined || !this.#calm.hasLasted([machine], at))
        continue;
      const isInPause = (this.#pauses.get(backend) ?? []).some(
        (pause) =>
          log.find(pause.requestId)?.machine === machine &&
          at > pause.at + noticeTime &&
          at < pause.at + pauseLength * 1_000,
      );
      const key = `${backend} from ${machine}`;
      if (isInPause) counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return [...counts]
      .filter(([, count]) => count > maxInPause)
      .map(([key, count]) => ({
        rule: "requests in a pause",
        detail: `${key}: ${count}`,
      }));
  }
}
