import { type Cancel, type Clock, millis } from "../core/clock.ts";
import { brandString, type LeaseId } from "../core/ids.ts";
import { readSessionRow, sessionPrefix } from "../core/lease/rows.ts";
import { budgetRowKey, parseBudgetRow } from "../core/loads/row.ts";
import type { TableService } from "../ports/table.ts";

/** Time between two comparisons, in ms; one node makes two reads each time. */
const intervalMillis = 15_000;

/** What the reconciler needs. */
export type PermitReconcilerOptions = {
  readonly clock: Clock;
  readonly table: TableService;
  /** Whether this node has the duty now. */
  readonly isResponsible: () => boolean;
  /** Hears of a lease that holds permits although its session is gone. */
  readonly onOrphan: (lease: LeaseId) => void;
};

/**
 * Finds load permits of leases without a session row. They are left behind by
 * a node that ended after a drain, or by one that removed another node's
 * session and died before it took care of the permits.
 */
export class PermitReconciler {
  readonly #options: PermitReconcilerOptions;
  /** Leases found without a session in the previous comparison. */
  #orphanCandidates = new Set<string>();
  #cancel: Cancel | undefined;
  #stopped = false;

  static create(options: PermitReconcilerOptions): PermitReconciler {
    const reconciler = new PermitReconciler(options);
    reconciler.#schedule();
    return reconciler;
  }

  private constructor(options: PermitReconcilerOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#stopped = true;
    this.#cancel?.();
  }

  #schedule(): void {
    if (this.#stopped) return;
    this.#cancel = this.#options.clock.schedule(
      millis(intervalMillis),
      () => void this.#compare().finally(() => this.#schedule()),
    );
  }

  async #compare(): Promise<void> {
    const { table, isResponsible, onOrphan } = this.#options;
    if (!isResponsible()) {
      this.#orphanCandidates.clear();
      return;
    }
    // Read first: a lease that takes permits later has its session by then.
    const budget = await table.read(budgetRowKey);
    const sessions = await table.scan(sessionPrefix);
    const row = parseBudgetRow(budget.orDefault(undefined)?.value);
    if (budget.isLeft() || sessions.isLeft() || row.isLeft()) return;
    const leases = new Set<string>(
      sessions
        .orDefault([])
        .flatMap(({ value }) => readSessionRow(value)?.lease ?? []),
    );
    const { shares, returning } = row.unsafeCoerce();
    const missing = [...Object.keys(shares), ...Object.keys(returning)].filter(
      (lease) => !leases.has(lease),
    );
    // Two comparisons, so that a lease renewed under a new id is not touched.
    for (const lease of missing) {
      if (this.#orphanCandidates.has(lease)) onOrphan(brandString(lease));
    }
    this.#orphanCandidates = new Set(missing);
  }
}
