import type { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import type { BackendServer } from "../../src/core/gateway/servers.ts";

/** Requests that a server queues beyond its slots. */
const queueRoom = 4;

/** Server without models that rejects requests beyond its queue. */
export class PlainServer {
  readonly server: BackendServer;
  load = 0;
  readonly #clock: VirtualClock;
  readonly #draw: () => number;
  readonly #queue: (() => void)[] = [];
  #running = 0;

  constructor(clock: VirtualClock, server: BackendServer, draw: () => number) {
    this.#clock = clock;
    this.server = server;
    this.#draw = draw;
  }

  get hasRoom(): boolean {
    return this.load < this.server.slots + queueRoom;
  }

  run(onEnd: () => void): void {
    this.load++;
    const start = () => {
      this.#running++;
      this.#clock.schedule(millis(this.#draw()), () => {
        this.#running--;
        this.load--;
        this.#queue.shift()?.();
        onEnd();
      });
    };
    if (this.#running < this.server.slots) start();
    else this.#queue.push(start);
  }
}
