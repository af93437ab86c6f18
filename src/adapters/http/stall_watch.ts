import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type Millis, millis } from "../../core/clock.ts";
import { SendQueues } from "./send_queues.ts";

/** Parts of the limit after which the connection is looked at. */
const checksPerLimit = 4;
/** Queues of all connections of this process. */
const sendQueues = SendQueues.create();

/** Options of {@link StallWatch}. */
export type StallWatchOptions = {
  /** How long the other end may receive none of the bytes that wait for it, in ms; noticed up to half of it later. */
  readonly limit: Millis;
  readonly onStall: () => void;
};

/** Reports that the other end of the connection of a response receives none of the bytes that wait for it. */
export class StallWatch {
  readonly #response: ServerResponse;
  readonly #options: StallWatchOptions;
  /** Connection whose timeout is set. */
  #watched: Socket | undefined;
  /** Bytes that the other end had received at the last check, but for a constant. */
  #received: number | undefined;
  /** Checks in a row that found no more bytes received. */
  #quietChecks = 0;

  private constructor(response: ServerResponse, options: StallWatchOptions) {
    this.#response = response;
    this.#options = options;
    // With a listener, Node does not destroy the connection itself.
    response.on("timeout", () => void this.#judge());
    response.on("drain", () => this.#stop());
    // A response behind another one on its connection gets its turn later.
    response.on("socket", () => this.check());
  }

  static create(
    response: ServerResponse,
    options: StallWatchOptions,
  ): StallWatch {
    return new StallWatch(response, options);
  }

  /** Watches the connection if bytes wait for it; called after each write and the end. */
  check(): void {
    const { socket, writableLength } = this.#response;
    if (this.#watched !== undefined || socket === null) return;
    if (writableLength === 0) return;
    this.#watched = socket;
    this.#quietChecks = 0;
    this.#received = undefined;
    this.#scheduleCheck(socket);
  }

  /** The timeout of a socket starts again as long as a part of a write is taken. */
  #scheduleCheck(socket: Socket): void {
    socket.setTimeout(millis(this.#options.limit / checksPerLimit));
  }

  /** The kernel takes further bytes in large steps, so that a slow reader shows in its queue only. */
  async #judge(): Promise<void> {
    const socket = this.#watched;
    if (socket === undefined) return;
    if (this.#response.writableLength === 0) return this.#stop();
    const queued = (await sendQueues.find(socket)) ?? 0;
    if (socket !== this.#watched || socket.destroyed) return;
    if (this.#response.writableLength === 0) {
      // The connection may be that of the next response by now, so its timeout stays.
      this.#watched = undefined;
      return;
    }
    const received = socket.bytesWritten - socket.writableLength - queued;
    this.#quietChecks = received === this.#received ? this.#quietChecks + 1 : 0;
    this.#received = received;
    if (this.#quietChecks >= checksPerLimit) this.#options.onStall();
    else this.#scheduleCheck(socket);
  }

  #stop(): void {
    this.#watched?.setTimeout(0);
    this.#watched = undefined;
  }
}
