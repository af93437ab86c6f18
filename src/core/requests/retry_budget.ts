/** Retries that each request adds to the budget. */
const retriesPerRequest = 0.2;
/** Maximum budget, in retries. */
const maxRetries = 100;

/** Limits retries to a share of the requests of a node. */
export class RetryBudget {
  #available = maxRetries;

  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Counts a new request. */
  deposit(): void {
    this.#available = Math.min(maxRetries, this.#available + retriesPerRequest);
  }

  /** Takes one retry, if any is left. */
  take(): boolean {
    if (this.#available < 1) return false;
    this.#available--;
    return true;
  }
}
