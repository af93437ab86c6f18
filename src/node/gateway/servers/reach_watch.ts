import type { Clock, Millis } from "../../../core/clock.ts";
import {
  createReach,
  needsCheck,
  type Reach,
  recordCheck,
  startCheck,
} from "../../../core/gateway/reach.ts";
import type {
  BackendServer,
  ServerDirectory,
} from "../../../core/gateway/servers.ts";
import type { ProbeServer } from "../../../ports/gateway.ts";
import type { Journal } from "../../../ports/journal.ts";

/** Number of servers that one check tries to connect to, and of those of one service. */
const sampleSize = 4;
const sampleOfService = 2;

/** Called after each check while the node is out of reach, and when it is back. */
export type ReachListener = (isLost: boolean) => void;

type ReachWatchOptions = {
  readonly clock: Clock;
  readonly random: () => number;
  readonly journal: Journal;
  readonly probe: ProbeServer;
  readonly directory: ServerDirectory;
};

/**
 * Knows whether this node reaches any server. Connections that are open may live
 * on while new ones fail, so that only a new connection counts.
 */
export class ReachWatch {
  readonly #options: ReachWatchOptions;
  readonly #reach: Reach;
  /** Requests that no server has begun to answer, oldest first, with the time of their sends. */
  readonly #unanswered = new Map<object, Millis>();
  readonly #listeners: ReachListener[] = [];
  #isChecking = false;

  private constructor(options: ReachWatchOptions) {
    this.#options = options;
    this.#reach = createReach(options.clock.now());
  }

  static create(options: ReachWatchOptions): ReachWatch {
    return new ReachWatch(options);
  }

  /** Whether the node reaches no server of any service. */
  get isLost(): boolean {
    return this.#reach.isLost;
  }

  follow(listener: ReachListener): void {
    this.#listeners.push(listener);
  }

  /** Records that a request was sent. */
  recordSend(attempt: object): void {
    this.#unanswered.set(attempt, this.#options.clock.now());
  }

  /** Records bytes of the answer to a request. */
  recordAnswer(attempt: object): void {
    this.#unanswered.delete(attempt);
    this.#reach.heardAt = this.#options.clock.now();
  }

  /** Records the end of a request; one that failed may show that the server is not reached. */
  recordEnd(attempt: object, hasFailed: boolean): void {
    this.#unanswered.delete(attempt);
    if (hasFailed) this.#reach.hasFailed = true;
  }

  /** Tries to connect to some servers if there is a reason to. */
  check(): void {
    const now = this.#options.clock.now();
    const [unansweredSince] = this.#unanswered.values();
    if (this.#isChecking || !needsCheck(this.#reach, { now, unansweredSince }))
      return;
    this.#isChecking = true;
    startCheck(this.#reach, now);
    void this.#run().finally(() => {
      this.#isChecking = false;
    });
  }

  async #run(): Promise<void> {
    const { probe, journal } = this.#options;
    const sample = this.#selectSample();
    if (sample.length === 0) return;
    const reached = await findFirst(sample.map((server) => probe(server)));
    const hasChanged = recordCheck(this.#reach, reached);
    const { isLost } = this.#reach;
    if (hasChanged)
      journal.record(isLost ? "serversOutOfReach" : "serversInReach", {
        servers: sample.length,
      });
    if (!hasChanged && !isLost) return;
    for (const listener of this.#listeners) listener(isLost);
  }

  /** Servers of as many services as possible, at random. */
  #selectSample(): BackendServer[] {
    const { directory, random } = this.#options;
    const shuffled = [...directory.servers.values()]
      .map((server) => ({ server, order: random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ server }) => server);
    const counts = new Map<string, number>();
    const sample = shuffled.filter(({ service }) => {
      const count = (counts.get(service) ?? 0) + 1;
      counts.set(service, count);
      return count <= sampleOfService;
    });
    return sample.slice(0, sampleSize);
  }
}

/** Resolves to true with the first that does, and to false once all have resolved to false. */
function findFirst(results: readonly Promise<boolean>[]): Promise<boolean> {
  return new Promise((resolve) => {
    for (const result of results)
      void result.then((isTrue) => {
        if (isTrue) resolve(true);
      });
    void Promise.all(results).then(() => resolve(false));
  });
}
