import type { Socket } from "node:net";
import type { Millis } from "../../core/clock.ts";

/** Pauses and resumes the reading of one response. */
export type ResponseFlow = {
  /** Time at which the connection of the response was opened. */
  readonly openedAt: Millis;
  pause(): void;
  resume(): void;
};

/**
 * Maximum number of bytes read without a head or a part of a body, in addition to
 * the last read: interim responses, padding, trailers, sizes and extensions of chunks.
 */
const maxSkippedBytes = 64 * 1024;

/** Options of {@link ReadGate}. */
export type ReadGateOptions = {
  readonly openedAt: Millis;
  /** Called when the connection is closed for bytes that are no answer. */
  readonly onSkipped: () => void;
};

/** Gate of the connection whose bytes are being parsed. */
let readingGate: ReadGate | undefined;

/**
 * Withholds the bytes of a connection from the HTTP client, and closes the
 * connection if they are no answer. The pause of undici itself does not fit: the
 * process ends on a failed assertion if a response without keep-alive ends while
 * it is paused.
 */
export class ReadGate {
  /** Time at which the connection was opened. */
  readonly openedAt: Millis;
  readonly #socket: Socket;
  readonly #onSkipped: () => void;
  #isClosed = false;
  #skippedBytes = 0;

  private constructor(socket: Socket, options: ReadGateOptions) {
    this.#socket = socket;
    this.openedAt = options.openedAt;
    this.#onSkipped = options.onSkipped;
    const read = socket.read;
    socket.read = (size) => {
      // Without a read the socket buffers up to its limit, then the peer has to wait.
      if (this.#isClosed) return null;
      if (this.#skippedBytes > maxSkippedBytes) return this.#destroy();
      const bytes: Buffer | null = read.call(socket, size);
      if (bytes === null) return null;
      this.#skippedBytes += bytes.length;
      readingGate = this;
      return bytes;
    };
  }

  static create(socket: Socket, options: ReadGateOptions): ReadGate {
    return new ReadGate(socket, options);
  }

  /** Gate of the connection whose bytes the client is parsing; only valid within its callbacks. */
  static get current(): ReadGate | undefined {
    return readingGate;
  }

  /** The bytes read so far have brought a head or a part of a body. */
  recordContent(): void {
    this.#skippedBytes = 0;
  }

  close(): void {
    this.#isClosed = true;
  }

  /** Reads on; not within the current turn, since the client may be parsing. */
  open(): void {
    if (!this.#isClosed) return;
    this.#isClosed = false;
    process.nextTick(() => {
      if (!this.#isClosed && !this.#socket.destroyed)
        this.#socket.emit("readable");
    });
  }

  #destroy(): null {
    if (this.#socket.destroyed) return null;
    this.#onSkipped();
    this.#socket.destroy(
      new Error("The server sends bytes that are no answer"),
    );
    return null;
  }
}
