const newline = 0x0a;
const colon = 0x3a;
const letterE = 0x65;
const openBracket = 0x5b;
/** Position of the first character after `data: `. */
const dataOffset = 6;

/** Receives whole server-sent events. */
export type EventReceiver = {
  /** `count` whole data events, without the end marker. */
  onEvents(bytes: Buffer, count: number): void;
  /** The end marker `data: [DONE]`. */
  onDone(): void;
  /** One named event, which relays use for refusals within a stream. */
  onNamedEvent(bytes: Buffer): void;
};

/** Largest event that is held back for its end, in bytes. */
export const maxEventBytes = 256 * 1024;

/**
 * Cuts a byte stream at the ends of server-sent events without parsing them.
 * Comment events, which relays send as heartbeats, are dropped.
 */
export class EventSplitter {
  readonly #receiver: EventReceiver;
  #rest: Buffer | undefined;

  static create(receiver: EventReceiver): EventSplitter {
    return new EventSplitter(receiver);
  }

  private constructor(receiver: EventReceiver) {
    this.#receiver = receiver;
  }

  /** Bytes of an event whose end has not arrived. */
  get pendingBytes(): number {
    return this.#rest?.length ?? 0;
  }

  /** Takes the next bytes; returns false when an event exceeds the size limit. */
  push(chunk: Buffer): boolean {
    const bytes =
      this.#rest === undefined ? chunk : Buffer.concat([this.#rest, chunk]);
    this.#rest = undefined;
    let start = 0;
    let from = 0;
    let count = 0;
    for (;;) {
      const end = findEventEnd(bytes, from);
      if (end < 0) break;
      const kind = classifyEvent(bytes, from);
      if (kind === "data") {
        count++;
      } else {
        this.#emit(bytes, { start, end: from, count });
        start = end;
        count = 0;
        if (kind === "done") this.#receiver.onDone();
        if (kind === "named") {
          this.#receiver.onNamedEvent(bytes.subarray(from, end));
        }
      }
      from = end;
    }
    this.#emit(bytes, { start, end: from, count });
    if (from < bytes.length) this.#rest = bytes.subarray(from);
    return this.pendingBytes <= maxEventBytes;
  }

  #emit(
    bytes: Buffer,
    span: { start: number; end: number; count: number },
  ): void {
    if (span.count === 0) return;
    this.#receiver.onEvents(bytes.subarray(span.start, span.end), span.count);
  }
}

/** Tells events apart by two bytes, since JSON objects start with a brace. */
function classifyEvent(
  bytes: Buffer,
  from: number,
): "data" | "done" | "named" | "comment" {
  const first = bytes[from];
  if (first === colon) return "comment";
  if (first === letterE) return "named";
  return bytes[from + dataOffset] === openBracket ? "done" : "data";
}

/** Index after the blank line that ends the event at `from`, or -1. */
function findEventEnd(bytes: Buffer, from: number): number {
  let at = bytes.indexOf(newline, from);
  while (at >= 0 && at + 1 < bytes.length) {
    if (bytes[at + 1] === newline) return at + 2;
    at = bytes.indexOf(newline, at + 1);
  }
  return -1;
}
