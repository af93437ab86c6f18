import type { Clock } from "../../../core/clock.ts";
import type { ServiceName } from "../../../core/ids.ts";
import type { Meter } from "../../../ports/journal.ts";
import { WaitQueue } from "./wait_queue.ts";

/** The queues of waiting requests of one node, by service. */
export class WaitQueues {
  readonly #options: { readonly clock: Clock; readonly meter: Meter };
  readonly #queues = new Map<ServiceName, WaitQueue>();

  private constructor(options: {
    readonly clock: Clock;
    readonly meter: Meter;
  }) {
    this.#options = options;
  }

  static create(options: {
    readonly clock: Clock;
    readonly meter: Meter;
  }): WaitQueues {
    return new WaitQueues(options);
  }

  /** The queue of a service. */
  obtain(service: ServiceName): WaitQueue {
    const known = this.#queues.get(service);
    if (known !== undefined) return known;
    const queue = WaitQueue.create({ ...this.#options, service });
    this.#queues.set(service, queue);
    return queue;
  }

  /** The queue of a service, if any request has waited for it. */
  find(service: ServiceName): WaitQueue | undefined {
    return this.#queues.get(service);
  }

  /** Tells the queue of a service that a server may have room. */
  notify(service: ServiceName): void {
    this.#queues.get(service)?.notify();
  }

  /** Tells all queues that a server may have room. */
  notifyAll(): void {
    for (const queue of this.#queues.values()) queue.notify();
  }
}
