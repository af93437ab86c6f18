/** Longest sequence of bytes that ends an event: two line ends. */
const maxEndBytes = 4;
const endOfEvent = /(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)$/;

/** Follows a stream of events to tell whether it has ended after an event or within one. */
export class EventBoundary {
  #tail = "";

  static create(): EventBoundary {
    return new EventBoundary();
  }

  /** Adds data of the stream. */
  push(bytes: Uint8Array): void {
    const last = String.fromCharCode(...bytes.subarray(-maxEndBytes));
    this.#tail = (this.#tail + last).slice(-maxEndBytes);
  }

  /** Whether the stream so far ends within an event. */
  get isWithinEvent(): boolean {
    return this.#tail !== "" && !endOfEvent.test(this.#tail);
  }
}
