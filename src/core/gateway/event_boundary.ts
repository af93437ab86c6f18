/** Longest sequence of bytes that ends an event: two line ends. */
const maxEndBytes = 4;
const endOfEvent = /(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)$/;
const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** Follows a stream of events to tell whether it has ended after an event or within one. */
export class EventBoundary {
  #tail = "";
  #eventBytes = 0;

  static create(): EventBoundary {
    return new EventBoundary();
  }

  /** Adds data of the stream. */
  push(bytes: Uint8Array): void {
    const last = String.fromCharCode(...bytes.subarray(-maxEndBytes));
    const lastBefore = this.#tail.at(-1)?.charCodeAt(0);
    this.#tail = (this.#tail + last).slice(-maxEndBytes);
    this.#eventBytes = this.isWithinEvent
      ? this.#countEventBytes(bytes, lastBefore)
      : 0;
  }

  /** Whether the stream so far ends within an event. */
  get isWithinEvent(): boolean {
    return this.#tail !== "" && !endOfEvent.test(this.#tail);
  }

  /** Size of the event within which the stream so far ends, in bytes. */
  get eventBytes(): number {
    return this.#eventBytes;
  }

  /** Size of the incomplete event after more data, which follows the last byte before it. */
  #countEventBytes(data: Uint8Array, last: number | undefined): number {
    for (let at = data.length - 1; at > 0; at--) {
      if (areLineEnds(data[at - 1], data[at])) return data.length - at - 1;
    }
    if (areLineEnds(last, data[0])) return data.length - 1;
    return this.#eventBytes + data.length;
  }
}

/** Whether two bytes end two lines; each end of an event has such bytes. */
function areLineEnds(
  first: number | undefined,
  second: number | undefined,
): boolean {
  if (first === lineFeed)
    return second === lineFeed || second === carriageReturn;
  return first === carriageReturn && second === carriageReturn;
}
