import { chooseSweepPrefix, selectExpired } from "../core/booking/sweep.ts";
import { type Cancel, type Clock, type Millis, millis } from "../core/clock.ts";
import { brandString, type NodeId, type ServiceName } from "../core/ids.ts";
import type { Meter } from "../ports/journal.ts";
import type { Row, TableService } from "../ports/table.ts";

/**
 * Mean time between two sweep steps of a node, in ms. With 9 nodes, each of the
 * 4,096 partitions of a service is swept about three times a day.
 */
export const sweepInterval = millis(60_000);

/** Options of the claim sweep. */
export type ClaimSweepOptions = {
  readonly clock: Clock;
  readonly table: TableService;
  readonly meter: Meter;
  readonly random: () => number;
  readonly nodeId: NodeId;
  readonly services: readonly ServiceName[];
  readonly interval?: Millis;
};

/**
 * Removes claim rows older than the retention period. Every node sweeps random
 * partitions of the rows, so that the nodes need no coordination.
 */
export class ClaimSweep {
  readonly #options: ClaimSweepOptions;
  #cancelTimer: Cancel | undefined;
  #steps = 0;
  #stopped = false;

  /** Creates the sweep and schedules its first step. */
  static create(options: ClaimSweepOptions): ClaimSweep {
    const sweep = new ClaimSweep(options);
    sweep.#scheduleStep();
    return sweep;
  }

  private constructor(options: ClaimSweepOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#stopped = true;
    this.#cancelTimer?.();
  }

  #scheduleStep(): void {
    const { clock, random, interval, services } = this.#options;
    if (this.#stopped || services.length === 0) return;
    const delay = (interval ?? sweepInterval) * (0.5 + random());
    this.#cancelTimer = clock.schedule(millis(delay), () => {
      void this.#step().finally(() => this.#scheduleStep());
    });
  }

  /** Sweeps one random partition; rows that cannot be removed are left for a later step. */
  async #step(): Promise<void> {
    const { table, services, random, clock, meter } = this.#options;
    const prefix = chooseSweepPrefix(services, random);
    if (prefix === undefined) return;
    const rows = (await table.scan(prefix)).orDefault([]);
    for (const batch of selectExpired(rows, clock.wallNow())) {
      if (this.#stopped) return;
      const committed = await this.#remove(batch);
      if (!committed) return;
      meter.count("claims_swept_total", {}, batch.length);
    }
  }

  async #remove(rows: readonly Row[]): Promise<boolean> {
    const { table, nodeId } = this.#options;
    const answer = await table.transact({
      attempt: brandString(`${nodeId}.sweep.${this.#steps++}`),
      conditions: rows.map(({ key, version }) => ({ key, version })),
      writes: rows.map(({ key }) => ({ key, value: undefined })),
    });
    return answer.map(({ kind }) => kind === "committed").orDefault(false);
  }
}
