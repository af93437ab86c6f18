import { type Cancel, type Clock, type Millis, millis } from "../core/clock.ts";
import type { ClusterPort } from "../ports/cluster.ts";
import type { Journal } from "../ports/journal.ts";
import type { DraftManager } from "./draft_manager.ts";
import type { EngineDirectory } from "./engine_directory.ts";
import type { EngineOwners } from "./engine_owners.ts";
import type { ServiceCallManager } from "./service_call_manager.ts";
import type { Session } from "./session.ts";
import { withTimeout } from "./timeout.ts";

/** Maximum time that a draining node waits for booking calls before it releases its session, in ms. */
const callDrainTimeout = millis(5_000);
/** Time before the end of a stop at which the node gives up its work, to record and send the outcomes, in ms. */
const giveUpMargin = 3_000;

/** Options of a drain. */
export type DrainOptions = {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly cluster: ClusterPort;
  readonly drafts: DraftManager;
  readonly services: ServiceCallManager;
  readonly directory: EngineDirectory;
  readonly owners: EngineOwners;
  readonly session: Session;
  /** Time from the request for the drain in which the node ends; unlimited by default. */
  readonly stopTimeout?: Millis | undefined;
};

/** Drain of a node: hands its engines over and lets its work end, within the time limit. */
export class Drain {
  readonly #options: DrainOptions;
  #giveUpAt: Millis | undefined;
  #cancelGiveUp: Cancel = () => {};

  private constructor(options: DrainOptions) {
    this.#options = options;
  }

  static create(options: DrainOptions): Drain {
    return new Drain(options);
  }

  /** Time at which unfinished work is given up; undefined before the drain. */
  get giveUpAt(): Millis | undefined {
    return this.#giveUpAt;
  }

  /**
   * Releases the owned engines; resolves when all requests, streams and outcomes
   * have ended. The time limit counts from `requestedAt`.
   */
  async run(requestedAt: Millis): Promise<void> {
    const { owners, session, drafts, directory, services, cluster } =
      this.#options;
    this.#limitTime(requestedAt);
    await this.#waitForCalls();
    owners.drain();
    await session.release();
    await drafts.waitIdle();
    await directory.waitIdle();
    await services.waitIdle();
    await cluster.leave();
  }

  /** Cancels the time limit. */
  stop(): void {
    this.#cancelGiveUp();
  }

  #limitTime(requestedAt: Millis): void {
    const { clock, stopTimeout } = this.#options;
    if (stopTimeout === undefined) return;
    const giveUpAt = millis(requestedAt + stopTimeout - giveUpMargin);
    this.#giveUpAt = giveUpAt;
    this.#cancelGiveUp = clock.schedule(millis(giveUpAt - clock.now()), () =>
      this.#giveUp(),
    );
  }

  /** Tells callers and other nodes what may have run, since the node cannot wait any longer. */
  #giveUp(): void {
    const { journal, drafts, services, directory } = this.#options;
    const open = drafts.open + services.outstanding;
    journal.record("drainTimedOut", { open });
    drafts.giveUp();
    services.giveUp();
    directory.giveUp();
  }

  /** Waits before the session row is removed, since other nodes then treat the calls in progress as abandoned. */
  async #waitForCalls(): Promise<void> {
    const { clock, services } = this.#options;
    await withTimeout(clock, services.waitIdle(), {
      timeout: callDrainTimeout,
      fallback: undefined,
    });
  }
}
