/** Interval at which the process checks that it runs, in ms. */
const checkInterval = 50;
/** Shortest time without a check that counts as a standstill, in ms. */
const minStandstill = 500;

/** Notes when the process of a soak, with all its callers and servers, did not run. */
export class Standstills {
  readonly #startedAt = performance.now();
  readonly #notes: string[] = [];
  readonly #timer: NodeJS.Timeout;
  #checkedAt = this.#startedAt;

  private constructor() {
    this.#timer = setInterval(() => this.#check(), checkInterval);
  }

  static watch(): Standstills {
    return new Standstills();
  }

  /** Ends the watch; returns each standstill as a step of the soak. */
  stop(): readonly string[] {
    clearInterval(this.#timer);
    return this.#notes;
  }

  #check(): void {
    const now = performance.now();
    const gap = now - this.#checkedAt;
    if (gap >= minStandstill)
      this.#notes.push(
        `${inSeconds(this.#checkedAt - this.#startedAt)} callers and servers stood still for ${inSeconds(gap)}`,
      );
    this.#checkedAt = now;
  }
}

function inSeconds(time: number): string {
  return `${(time / 1_000).toFixed(1)} s`;
}
