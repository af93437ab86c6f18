import { millis } from "../../core/clock.ts";
import { type Refusal, refuse } from "../../core/results/refusal.ts";

/** Time after which a refused caller may send again, in ms. */
const retryAfterMillis = 1_000;

/** Counts calls in flight in all and per caller address. */
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

  /** Calls in flight. */
  get total(): number {
    return this.#total;
  }

  /** Counts a call, or says why it is refused. */
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
        `${scope} are in flight; wait for answers`,
        { retryAfter: millis(retryAfterMillis) },
      );
    }
    this.#total++;
    this.#byCaller.set(caller, own + 1);
    return undefined;
  }

  /** Counts the end of a call. */
  release(caller: string): void {
    this.#total--;
    const own = (this.#byCaller.get(caller) ?? 1) - 1;
    if (own > 0) this.#byCaller.set(caller, own);
    else this.#byCaller.delete(caller);
  }
}
