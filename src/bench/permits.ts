import { type Clock, millis } from "../core/clock.ts";
import type { EngineId } from "../core/ids.ts";
import type { PermitSource } from "../node/engine_owner.ts";

/** Load permits of the weight store, and the time until a used permit becomes available again, in ms. */
const PERMIT_COUNT = 8;
const REFILL_TIME = 8_000 / 3;

/** Permits reserved for urgent requests, so that deferred loads do not use up the burst. */
const DEFERRED_RESERVE = 6;

type PermitRequest = { readonly engine: EngineId; readonly urgent: boolean };

/** Load budget of a whole installation, without the leases that divide it between nodes. */
export class SharedPermits implements PermitSource {
  readonly #clock: Clock;
  readonly #grant: (engine: EngineId) => void;
  #available = PERMIT_COUNT;
  #pendingRequests: PermitRequest[] = [];
  readonly #grantedAt = new Map<EngineId, number[]>();

  private constructor(clock: Clock, grant: (engine: EngineId) => void) {
    this.#clock = clock;
    this.#grant = grant;
  }

  /** `grant` is called when the owner of an engine gets one more permit. */
  static create(
    clock: Clock,
    grant: (engine: EngineId) => void,
  ): SharedPermits {
    return new SharedPermits(clock, grant);
  }

  request(engine: EngineId, urgent: boolean): void {
    this.#pendingRequests.push({ engine, urgent });
    this.#scheduleGrants();
  }

  release(engine: EngineId, used: boolean): void {
    const held = this.#grantedAt.get(engine) ?? [];
    const grantedAt = held.shift() ?? this.#clock.now();
    const delay = used ? grantedAt + REFILL_TIME - this.#clock.now() : 0;
    this.#clock.schedule(millis(Math.max(0, delay)), () => {
      this.#available++;
      this.#grantPending();
    });
  }

  /** Grants asynchronously, since an owner requests permits in the middle of a decision. */
  #scheduleGrants(): void {
    this.#clock.schedule(millis(0), () => this.#grantPending());
  }

  #grantPending(): void {
    for (;;) {
      const urgent = this.#pendingRequests.findIndex((entry) => entry.urgent);
      if (this.#available <= (urgent < 0 ? DEFERRED_RESERVE : 0)) return;
      const [next] = this.#pendingRequests.splice(Math.max(0, urgent), 1);
      if (next === undefined) return;
      this.#available--;
      const held = this.#grantedAt.get(next.engine) ?? [];
      held.push(this.#clock.now());
      this.#grantedAt.set(next.engine, held);
      this.#grant(next.engine);
    }
  }
}
