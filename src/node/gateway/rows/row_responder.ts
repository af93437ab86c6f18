import { type Clock, type Millis, millis } from "../../../core/clock.ts";
import type {
  RowDelivery,
  RowRequest,
  RowServer,
} from "../../../ports/rows.ts";
import type { RowCopies } from "./row_copies.ts";

/** Maximum time that a node holds the call of another until a row changes, in ms. */
export const maxServeWait = 600;
/** Maximum number of calls of other nodes that are held at a time. */
const maxWaitingCalls = 256;

type RowResponderOptions = {
  readonly clock: Clock;
  readonly copies: RowCopies;
};

/** Answers the calls of other nodes from the copies of this one. */
export class RowResponder implements RowServer {
  readonly #options: RowResponderOptions;
  readonly #waiting = new Set<() => void>();
  #stopped = false;

  private constructor(options: RowResponderOptions) {
    this.#options = options;
  }

  static create(options: RowResponderOptions): RowResponder {
    return new RowResponder(options);
  }

  /** Resolves once there is a change, the wait is over or the rows become outdated. */
  async serve({ positions, wait }: RowRequest): Promise<RowDelivery[]> {
    const { clock, copies } = this.#options;
    const until = clock.now() + Math.min(wait, maxServeWait);
    for (;;) {
      const deliveries = copies.collectDeliveries(positions);
      const hasNews = deliveries.some(
        ({ isComplete, rows, topic, epoch }) =>
          isComplete ||
          rows.length > 0 ||
          // The caller must look for another node.
          epoch < (positions[topic]?.epoch ?? 0),
      );
      const left = Math.min(until, copies.findOutdatedAt()) - clock.now();
      const isFull = this.#waiting.size >= maxWaitingCalls;
      if (hasNews || left <= 0 || isFull || this.#stopped) return deliveries;
      await this.#waitForChange(millis(left));
    }
  }

  /** Wakes the calls that wait for a change. */
  wakeWaitingCalls(): void {
    for (const finish of [...this.#waiting]) finish();
  }

  stop(): void {
    this.#stopped = true;
    this.wakeWaitingCalls();
  }

  #waitForChange(limit: Millis): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        cancel();
        this.#waiting.delete(finish);
        resolve();
      };
      const cancel = this.#options.clock.schedule(limit, finish);
      this.#waiting.add(finish);
    });
  }
}
