/** Maximum size of an incomplete event that is buffered, in bytes. */
const maxEventBytes = 256 * 1024;

const lineFeed = 0x0a;
const idField = "id:";

/** Complete events of the data received. */
export type CompleteEvents = {
  readonly bytes: Uint8Array;
  readonly count: number;
  /** Why the stream cannot go on after these events. */
  readonly fault: string | undefined;
};

/**
 * Splits a server-sent event stream at the ends of its events and keeps the id
 * of the last one, so that another server can resume the stream exactly there.
 */
export class StreamCursor {
  #partial: Uint8Array = new Uint8Array(0);
  #lastId: string | undefined;
  #count = 0;

  static create(lastId?: string): StreamCursor {
    const cursor = new StreamCursor();
    cursor.#lastId = lastId;
    return cursor;
  }

  /** Id of the last complete event. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Number of complete events so far. */
  get count(): number {
    return this.#count;
  }

  /** Size of the buffered incomplete event, in bytes. */
  get partialBytes(): number {
    return this.#partial.length;
  }

  /** Discards an event that was cut off. */
  discardPartialEvent(): void {
    this.#partial = new Uint8Array(0);
  }

  /** Adds data and returns the events that are now complete. */
  push(chunk: Uint8Array): CompleteEvents {
    const data =
      this.#partial.length === 0 ? chunk : join(this.#partial, chunk);
    let start = 0;
    let count = 0;
    for (;;) {
      const end = findEventEnd(data, start);
      if (end < 0) break;
      this.#lastId = readId(data.subarray(start, end)) ?? this.#lastId;
      count++;
      start = end;
    }
    this.#count += count;
    this.#partial = data.subarray(start);
    const isTooLarge = this.#partial.length > maxEventBytes;
    const fault = isTooLarge ? "An event is too large" : undefined;
    return { bytes: data.subarray(0, start), count, fault };
  }
}

function join(first: Uint8Array, second: Uint8Array): Uint8Array {
  const joined = new Uint8Array(first.length + second.length);
  joined.set(first);
  joined.set(second, first.length);
  return joined;
}

/** Offset after the blank line that ends an event, or -1. */
function findEventEnd(data: Uint8Array, start: number): number {
  let at = data.indexOf(lineFeed, start);
  while (at >= 0) {
    if (data[at + 1] === lineFeed) return at + 2;
    if (data[at + 1] === 0x0d && data[at + 2] === lineFeed) return at + 3;
    at = data.indexOf(lineFeed, at + 1);
  }
  return -1;
}

const decoder = new TextDecoder();

function readId(event: Uint8Array): string | undefined {
  for (const line of decoder.decode(event).split("\n")) {
    if (line.startsWith(idField)) return line.slice(idField.length).trim();
  }
  return undefined;
}
