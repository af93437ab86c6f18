/** Attempts that each request adds to the budget. */
const depositPerRequest = 0.2;
/** Largest saved budget, in attempts. */
const maxSaved = 100;

/** Bounds further attempts to a share of the requests of a node. */
export class RetryBudget {
  #saved = maxSaved;

  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Counts a new request. */
  deposit(): void {
    this.#saved = Math.min(maxSaved, this.#saved + depositPerRequest);
  }

  /** Takes one attempt, if any is left. */
  take(): boolean {
    if (this.#saved < 1) return false;
    this.#saved--;
    return true;
  }
}
