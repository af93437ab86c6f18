import type { Clock } from "../../../core/clock.ts";
import type { ReaderFault } from "../../../core/gateway/reader_choice.ts";
import type { MachineName } from "../../../core/ids.ts";
import type { Journal } from "../../../ports/journal.ts";

/** Minimum time between the starts of two searches, in ms. */
const searchInterval = 300;
/** Maximum number of nodes asked in one search. */
const maxAsked = 4;

type RowSearchOptions = {
  readonly clock: Clock;
  readonly journal: Journal;
  /** All other nodes, in the order in which they are asked. */
  readonly listNodes: () => readonly MachineName[];
  /** Fetches the rows that a node has; returns why they were not used. */
  readonly fetchRows: (
    machine: MachineName,
  ) => Promise<ReaderFault | undefined>;
};

/**
 * Search for a node with recent rows, for a node that the table service turns
 * away or does not answer; it may answer others meanwhile.
 */
export class RowSearch {
  readonly #options: RowSearchOptions;
  #startedAt = Number.NEGATIVE_INFINITY;
  /** Position at which the next search starts. */
  #next = 0;
  /** Node that had recent rows in the latest search, if one had. */
  #found: MachineName | undefined;

  private constructor(options: RowSearchOptions) {
    this.#options = options;
  }

  static create(options: RowSearchOptions): RowSearch {
    return new RowSearch(options);
  }

  /** Time from which rows that are outdated from `outdatedAt` may be searched for. */
  findStart(outdatedAt: number): number {
    return Math.max(outdatedAt, this.#startedAt + searchInterval);
  }

  /** Asks nodes in turn until one has recent rows. */
  async run(): Promise<void> {
    const { clock, journal, listNodes, fetchRows } = this.#options;
    this.#startedAt = clock.now();
    const nodes = listNodes();
    for (let asked = 0; asked < Math.min(maxAsked, nodes.length); asked++) {
      const machine = nodes[this.#next % nodes.length] as MachineName;
      const fault = await fetchRows(machine);
      if (fault === undefined) {
        if (this.#found !== machine) journal.record("rowsFetched", { machine });
        this.#found = machine;
        return;
      }
      this.#next++;
    }
    this.#found = undefined;
  }
}
