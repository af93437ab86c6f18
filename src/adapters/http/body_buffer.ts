/** Sizes of the first and of the largest block, in bytes. */
const firstBlockBytes = 1024;
const maxBlockBytes = 64 * 1024;
/** Memory of a buffer besides its bytes. */
const bufferBytes = 256;

/** Largest blocks that no body uses; kept, since released memory is reused only after a garbage collection. */
export class BlockPool {
  readonly #maxBlocks: number;
  readonly #free: Buffer[] = [];

  private constructor(maxBlocks: number) {
    this.#maxBlocks = maxBlocks;
  }

  /** Creates a pool that keeps a number of bytes at most. */
  static create(maxBytes: number): BlockPool {
    return new BlockPool(Math.floor(maxBytes / maxBlockBytes));
  }

  /** Takes a block; its memory is not part of a buffer that outlives it. */
  take(): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(maxBlockBytes);
  }

  give(block: Buffer): void {
    if (this.#free.length < this.#maxBlocks) this.#free.push(block);
  }
}

/** Body that arrives in chunks; they are joined, since each buffer costs far more than a byte. */
export class BodyBuffer {
  readonly #pool: BlockPool;
  /** The first chunk, and blocks that are full. */
  #parts: Buffer[] = [];
  #block: Buffer | undefined;
  /** Bytes of the block that are in use. */
  #filled = 0;
  #size = 0;

  private constructor(pool: BlockPool) {
    this.#pool = pool;
  }

  static create(pool: BlockPool): BodyBuffer {
    return new BodyBuffer(pool);
  }

  /** Adds a chunk; returns the bytes of memory that this takes. */
  push(chunk: Buffer): number {
    this.#size += chunk.length;
    // Most bodies have a single chunk, which is not copied.
    if (this.#size === chunk.length) {
      this.#parts.push(chunk);
      return chunk.length + bufferBytes;
    }
    let taken = 0;
    for (let rest = chunk; rest.length > 0; ) {
      if (this.#block === undefined) taken += this.#openBlock();
      rest = rest.subarray(this.#fill(rest));
    }
    return taken;
  }

  /** Returns the whole body and keeps nothing. */
  take(): Buffer {
    const [first = Buffer.alloc(0)] = this.#parts;
    if (this.#size === first.length) {
      this.clear();
      return first;
    }
    const rest = this.#block?.subarray(0, this.#filled) ?? Buffer.alloc(0);
    const body = Buffer.concat([...this.#parts, rest]);
    this.clear();
    return body;
  }

  clear(): void {
    const [, ...blocks] = this.#parts;
    if (this.#block !== undefined) blocks.push(this.#block);
    for (const block of blocks)
      if (block.length === maxBlockBytes) this.#pool.give(block);
    this.#parts = [];
    this.#block = undefined;
    this.#filled = 0;
    this.#size = 0;
  }

  /** Opens a block as large as what has arrived, within limits. */
  #openBlock(): number {
    const size = Math.max(firstBlockBytes, Math.min(maxBlockBytes, this.#size));
    this.#block =
      size === maxBlockBytes ? this.#pool.take() : Buffer.allocUnsafeSlow(size);
    this.#filled = 0;
    return size + bufferBytes;
  }

  /** Copies bytes into the open block; returns how many. */
  #fill(bytes: Buffer): number {
    const block = this.#block as Buffer;
    const copied = bytes.copy(block, this.#filled);
    this.#filled += copied;
    if (this.#filled === block.length) {
      this.#parts.push(block);
      this.#block = undefined;
    }
    return copied;
  }
}
