const eventSeparator = Buffer.from("\n\n");
const colon = 0x3a;
const openingBracket = 0x5b;
const dataField = Buffer.from("data: ");
const doneEvent = "data: [DONE]";
const letterE = 0x65;
/** Start of the event with which an engine's owner ends a forwarded stream that it cannot complete. */
const refusalStart = Buffer.from("event: refusal\n");

/** Events with which an engine reports that it cannot complete an answer, up to the first value. */
const namedErrorStart = Buffer.from("event: error\n");
const errorEvent = /^data: \{"(?:error"\s*:\s*[{"]|object"\s*:\s*"error")/;
/** Offset of the first letter of the first key, and length of the part that `errorEvent` needs, in bytes. */
const firstKeyOffset = 8;
const errorStartLength = 32;
const letterO = 0x6f;

/** Maximum size of an incomplete event that is buffered, in bytes. */
const maxEventBytes = 1024 * 1024;

/** Complete events of a stream, without comments and the closing `[DONE]` event. */
export type SplitEvents = {
  readonly bytes: Buffer;
  readonly count: number;
  /** `data: [DONE]` was read; data after it is dropped. */
  readonly done: boolean;
  /** Refusal event that ended the stream; data after it is dropped. */
  readonly refusal: Buffer | undefined;
  /** Event that reports an error and ended the stream; data after it is dropped. */
  readonly error: Buffer | undefined;
};

/** Splits a byte stream into server-sent events without parsing them. */
export class EventSplitter {
  #incompleteEvent: Buffer | undefined;

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Returns the events completed by this chunk; undefined if one exceeds the size limit. */
  push(chunk: Buffer): SplitEvents | undefined {
    const data =
      this.#incompleteEvent === undefined
        ? chunk
        : Buffer.concat([this.#incompleteEvent, chunk]);
    this.#incompleteEvent = undefined;
    const parts: Buffer[] = [];
    let count = 0;
    let start = 0;
    let partStart = 0;
    let done = false;
    let refusal: Buffer | undefined;
    let error: Buffer | undefined;
    const isOpen = () => !done && refusal === undefined && error === undefined;
    while (isOpen()) {
      const end = data.indexOf(eventSeparator, start);
      if (end < 0) break;
      const next = end + eventSeparator.length;
      done = isDoneEvent(data, { start, end });
      if (isRefusalEvent(data, start)) refusal = data.subarray(start, end);
      if (isErrorEvent(data, start)) error = data.subarray(start, end);
      if (!isOpen() || data[start] === colon) {
        if (start > partStart) parts.push(data.subarray(partStart, start));
        partStart = next;
      } else {
        count++;
      }
      start = next;
    }
    const open = isOpen();
    if (open && data.length - start > maxEventBytes) return undefined;
    if (open && start < data.length)
      this.#incompleteEvent = data.subarray(start);
    if (start > partStart) parts.push(data.subarray(partStart, start));
    const [firstPart = Buffer.alloc(0)] = parts;
    const bytes = parts.length > 1 ? Buffer.concat(parts) : firstPart;
    return { bytes, count, done, refusal, error };
  }
}

function isDoneEvent(
  data: Buffer,
  { start, end }: { start: number; end: number },
): boolean {
  return (
    end - start === doneEvent.length &&
    data[start + dataField.length] === openingBracket &&
    data.toString("latin1", start, end) === doneEvent
  );
}

function isRefusalEvent(data: Buffer, start: number): boolean {
  return (
    data[start] === letterE &&
    data.subarray(start, start + refusalStart.length).equals(refusalStart)
  );
}

function isErrorEvent(data: Buffer, start: number): boolean {
  const nameEnd = start + namedErrorStart.length;
  if (data[start] === letterE)
    return data.subarray(start, nameEnd).equals(namedErrorStart);
  const letter = data[start + firstKeyOffset];
  if (letter !== letterE && letter !== letterO) return false;
  return errorEvent.test(
    data.toString("latin1", start, start + errorStartLength),
  );
}
