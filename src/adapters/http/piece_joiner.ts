/**
 * Joins the pieces of a body that arrive in one turn. Without it chunks of a few
 * bytes would each cost an object and a write.
 */
export class PieceJoiner {
  readonly #deliver: (bytes: Buffer) => void;
  #pieces: Buffer[] = [];

  private constructor(deliver: (bytes: Buffer) => void) {
    this.#deliver = deliver;
  }

  static create(deliver: (bytes: Buffer) => void): PieceJoiner {
    return new PieceJoiner(deliver);
  }

  /** Adds a piece, which is delivered before the end of the turn. */
  push(piece: Buffer): void {
    this.#pieces.push(piece);
    if (this.#pieces.length === 1) queueMicrotask(() => this.flush());
  }

  /** Delivers the pieces at once; called before the end of the body. */
  flush(): void {
    const pieces = this.#pieces;
    if (pieces.length === 0) return;
    this.#pieces = [];
    const [first] = pieces as [Buffer];
    this.#deliver(pieces.length === 1 ? first : Buffer.concat(pieces));
  }
}
