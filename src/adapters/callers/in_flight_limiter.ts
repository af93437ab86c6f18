import { millis } from "../../core/clock.ts";
import { type Refusal, refuse } from "../../core/results/refusal.ts";

/** `retry-after` of a refused call, in ms. */
const retryAfterMillis = 1_000;

/** Limits the calls in flight, in total and per caller address. */
export class InFlightLimiter {
  readonly #limits: { inFlight: number; inFlightPerCaller: number };
  readonly #byCaller = new Map<string, number>();
  #total = 0;

  static create(limits: {
    inFlight: number;
    inFlightPerCaller: number;
  }): InFlightLimiter {
    return new InFlightLimiter(limits);
  }

  private constructor(limits: { inFlight: number; inFlightPerCaller: number }) {
    this.#limits = limits;
  }

  /** Number of calls in flight. */
  get total(): number {
    return this.#total;
  }

  /** Counts a call as in flight, or returns the refusal if a limit is reached. */
  acquire(caller: string): Refusal | undefined {
    const own = this.#byCaller.get(caller) ?? 0;
    const { inFlight, inFlightPerCaller } = this.#limits;
    if (this.#total >= inFlight || own >= inFlightPerCaller) {
      const scope =
        own >= inFlightPerCaller
          ? `${inFlightPerCaller} calls of this caller`
          : `${inFlight} calls at this node`;
      return refuse(
        "tooManyInFlight",
        `${scope} are already in flight; wait for their answers`,
        { retryAfter: millis(retryAfterMillis) },
      );
    }
    this.#total++;
    this.#byCaller.set(caller, own + 1);
    return undefined;
  }

  /** Counts a call as ended, so that it leaves the calls in flight. */
  leave(caller: string): void {
    this.#total--;
    const own = (this.#byCaller.get(caller) ?? 1) - 1;
    if (own > 0) this.#byCaller.set(caller, own);
    else this.#byCaller.delete(caller);
  }
}
