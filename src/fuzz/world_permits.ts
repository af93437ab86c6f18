import { type Clock, millis } from "../core/clock.ts";
import type { EngineId } from "../core/ids.ts";
import type { PermitPart } from "../node/node.ts";

/** Time after which a permit is granted, in ms. */
const grantDelay = 5;

/** Grants every permit after a short delay; the load budget has tests of its own. */
export class WorldPermits implements PermitPart {
  readonly #clock: Clock;
  readonly #grant: (engine: EngineId) => void;
  #stopped = false;

  constructor(clock: Clock, grant: (engine: EngineId) => void) {
    this.#clock = clock;
    this.#grant = grant;
  }

  request(engine: EngineId): void {
    this.#clock.schedule(millis(grantDelay), () => {
      if (!this.#stopped) this.#grant(engine);
    });
  }

  release(): void {}

  stop(): void {
    this.#stopped = true;
  }
}
