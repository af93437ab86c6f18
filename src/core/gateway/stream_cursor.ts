/** Maximum size of an incomplete event, in bytes. */
export const maxEventBytes = 256 * 1024;

const lineFeed = 0x0a;
const idField = "id:";
/** Start of an event without fields, or with a comment before them. */
const startsWithComment = /^[:\r\n]/;
/** Ids that are compared as numbers, without loss of digits. */
const decimalNumber = /^\d{1,15}$/;

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
  /** Id of the last event of this response. */
  #deliveredId: string | undefined;
  /** The last event of this response has no id. */
  #lastIsUnnamed = false;
  /** Another run goes on from here, and has not sent an event yet. */
  #isResuming = false;
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

  /** Whether another server can go on after the last complete event. */
  get isResumable(): boolean {
    return !this.#lastIsUnnamed;
  }

  /** Number of complete events so far. */
  get count(): number {
    return this.#count;
  }

  /** Size of the buffered incomplete event, in bytes. */
  get partialBytes(): number {
    return this.#partial.length;
  }

  /** Discards an event that was cut off; another run goes on after the last complete one. */
  discardPartialEvent(): void {
    this.#partial = new Uint8Array(0);
    this.#isResuming = this.#deliveredId !== undefined;
  }

  /** Adds data and returns the events that are now complete. */
  push(chunk: Uint8Array): CompleteEvents {
    const data =
      this.#partial.length === 0 ? chunk : join(this.#partial, chunk);
    let start = 0;
    let count = 0;
    let fault: string | undefined;
    for (;;) {
      const end = findEventEnd(data, start);
      if (end < 0) break;
      fault = this.#accept(decoder.decode(data.subarray(start, end)));
      if (fault !== undefined) break;
      count++;
      start = end;
    }
    this.#count += count;
    this.#partial = data.subarray(start);
    if (this.#partial.length > maxEventBytes) fault ??= "An event is too large";
    return { bytes: data.subarray(0, start), count, fault };
  }

  /** Records an event; returns why it cannot follow the events before it, if it cannot. */
  #accept(event: string): string | undefined {
    if (isComment(event)) return undefined;
    const id = readId(event);
    if (id === undefined) {
      if (this.#isResuming) return "The resumed stream has no ids";
      this.#lastIsUnnamed = true;
      return undefined;
    }
    const last = this.#deliveredId;
    if (last !== undefined && !isLater(id, last)) {
      return `Event ${id} does not follow event ${last}`;
    }
    this.#isResuming = false;
    this.#lastIsUnnamed = false;
    this.#deliveredId = id;
    this.#lastId = id;
    return undefined;
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

/** Whether an event only keeps the connection open. */
function isComment(event: string): boolean {
  if (!startsWithComment.test(event)) return false;
  return event
    .split("\n")
    .every((line) => line.startsWith(":") || line.trim() === "");
}

function readId(event: string): string | undefined {
  for (const line of event.split("\n")) {
    if (line.startsWith(idField)) return line.slice(idField.length).trim();
  }
  return undefined;
}

/** Whether an id follows another one; ids that are no numbers only have to differ. */
function isLater(id: string, last: string): boolean {
  const isNumeric = decimalNumber.test(id) && decimalNumber.test(last);
  return isNumeric ? Number(id) > Number(last) : id !== last;
}
