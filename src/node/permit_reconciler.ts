import { type Cancel, type Clock, millis } from "../core/clock.ts";
import { brandString, type LeaseId } from "../core/ids.ts";
import { readSessionRow, sessionPrefix } from "../core/lease/rows.ts";
import { budgetRowKey, parseBudgetRow } from "../core/loads/row.ts";
import type { TableService } from "../ports/table.ts";

/** Interval between two comparisons, in ms; each costs one node two reads. */
const intervalMillis = 15_000;

/** Options of the permit reconciler. */
export type PermitReconcilerOptions = {
  readonly clock: Clock;
  readonly table: TableService;
  /** Whether this node currently runs the comparison. */
  readonly isResponsible: () => boolean;
  /** Called for a lease that holds permits although its session row is missing. */
  readonly onOrphan: (lease: LeaseId) => void;
};

/**
 * Finds load permits of leases without a session row. Such permits remain when
 * a node stops after a drain, or when a node removes another node's session and
 * crashes before it reclaims the permits.
 */
export class PermitReconciler {
  readonly #options: PermitReconcilerOptions;
  /** Leases without a session in the previous comparison. */
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
    // The budget is read before the sessions, so that a lease that takes permits
    // afterwards is not reported: its session row already exists.
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
    // Reported only after two comparisons, so that a lease that is being renewed
    // under a new id is left alone.
    for (const lease of missing) {
      if (this.#orphanCandidates.has(lease)) onOrphan(brandString(lease));
    }
    this.#orphanCandidates = new Set(missing);
  }
}
