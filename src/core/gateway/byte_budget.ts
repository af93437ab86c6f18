/** Part of a budget that one holder uses. */
export type BudgetShare = {
  /** Adds bytes that the holder keeps; may take the share back at once, or that of another holder. */
  add(bytes: number): void;
  /** The share can no longer be taken back. */
  settle(): void;
  /** Returns all bytes. */
  release(): void;
};

type Holder = {
  bytes: number;
  onTakenBack: (() => void) | undefined;
  /** The same bytes in the budget that this one is a part of. */
  readonly upper: BudgetShare | undefined;
};

/**
 * Limits the bytes that all holders keep together. Beyond the limit the largest
 * share is taken back, so that an endless sender costs no other holder its share.
 * A budget may be part of another one, which limits several kinds together.
 */
export class ByteBudget {
  /** Maximum number of bytes. */
  readonly limit: number;
  readonly #whole: ByteBudget | undefined;
  readonly #holders = new Set<Holder>();
  #used = 0;

  private constructor(limit: number, whole: ByteBudget | undefined) {
    this.limit = limit;
    this.#whole = whole;
  }

  /** Creates a budget with a limit in bytes, as part of a whole if there is one. */
  static create(limit: number, whole?: ByteBudget): ByteBudget {
    return new ByteBudget(limit, whole);
  }

  /** Number of bytes that all holders keep. */
  get used(): number {
    return this.#used;
  }

  /** Opens a share; `onTakenBack` must free what the holder keeps. */
  open(onTakenBack: () => void): BudgetShare {
    const upper = this.#whole?.open(() => this.#takeBack(holder));
    const holder: Holder = { bytes: 0, onTakenBack, upper };
    this.#holders.add(holder);
    return {
      add: (bytes) => {
        if (!this.#holders.has(holder)) return;
        holder.bytes += bytes;
        this.#used += bytes;
        upper?.add(bytes);
        this.#enforce();
      },
      settle: () => {
        holder.onTakenBack = undefined;
        upper?.settle();
      },
      release: () => this.#release(holder),
    };
  }

  #enforce(): void {
    while (this.#used > this.limit) {
      const largest = this.#findLargest();
      if (largest === undefined) return;
      this.#takeBack(largest);
    }
  }

  /** Holder of the largest share that can be taken back. */
  #findLargest(): Holder | undefined {
    let largest: Holder | undefined;
    for (const holder of this.#holders) {
      if (holder.onTakenBack === undefined) continue;
      if (largest === undefined || holder.bytes > largest.bytes)
        largest = holder;
    }
    return largest;
  }

  #takeBack(holder: Holder): void {
    this.#release(holder);
    holder.onTakenBack?.();
  }

  #release(holder: Holder): void {
    if (!this.#holders.delete(holder)) return;
    this.#used -= holder.bytes;
    holder.upper?.release();
  }
}
