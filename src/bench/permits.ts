import { type Clock, millis } from "../core/clock.ts";
import type { EngineId } from "../core/ids.ts";
import type { PermitSource } from "../node/engine_owner.ts";

/** Load permits of the weight store and the time after which a used one may be used again, in ms. */
const PERMITS = 8;
const REFILL = 8_000 / 3;

/** Permits that only urgent requests may take, so that deferred loads do not use up the burst. */
const DEFERRED_RESERVE = 6;

type Waiting = { readonly engine: EngineId; readonly urgent: boolean };

/** Load budget of a whole installation, without the leases that divide it. */
export class SharedPermits implements PermitSource {
  readonly #clock: Clock;
  readonly #grant: (engine: EngineId) => void;
  #free = PERMITS;
  #waiting: Waiting[] = [];
  readonly #grantedAt = new Map<EngineId, number[]>();

  private constructor(clock: Clock, grant: (engine: EngineId) => void) {
    this.#clock = clock;
    this.#grant = grant;
  }

  /** `grant` tells the owner of an engine that it holds one more permit. */
  static create(
    clock: Clock,
    grant: (engine: EngineId) => void,
  ): SharedPermits {
    return new SharedPermits(clock, grant);
  }

  request(engine: EngineId, urgent: boolean): void {
    this.#waiting.push({ engine, urgent });
    this.#schedule();
  }

  release(engine: EngineId, used: boolean): void {
    const held = this.#grantedAt.get(engine) ?? [];
    const grantedAt = held.shift() ?? this.#clock.now();
    const wait = used ? grantedAt + REFILL - this.#clock.now() : 0;
    this.#clock.schedule(millis(Math.max(0, wait)), () => {
      this.#free++;
      this.#serve();
    });
  }

  /** Grants later, since an owner asks while it makes a decision. */
  #schedule(): void {
    this.#clock.schedule(millis(0), () => this.#serve());
  }

  #serve(): void {
    for (;;) {
      const urgent = this.#waiting.findIndex((entry) => entry.urgent);
      if (this.#free <= (urgent < 0 ? DEFERRED_RESERVE : 0)) return;
      const [next] = this.#waiting.splice(Math.max(0, urgent), 1);
      if (next === undefined) return;
      this.#free--;
      const held = this.#grantedAt.get(next.engine) ?? [];
      held.push(this.#clock.now());
      this.#grantedAt.set(next.engine, held);
      this.#grant(next.engine);
    }
  }
}
