import type { Server } from "node:http";
import type { Socket } from "node:net";
import { type Clock, millis } from "../../core/clock.ts";

/** Bytes that are parsed before the connection is looked at again. */
const pieceBytes = 8 * 1024;
/** How long one connection is parsed before others get their turn, in ms. */
const turnTime = millis(2);

/** Reading of one connection. */
type Reading = {
  readonly socket: Socket;
  /** Parses bytes and passes requests and bodies on. */
  readonly parse: (bytes: Buffer) => void;
  /** Bytes that have been read and not parsed. */
  rest: Buffer | undefined;
  isHeld: boolean;
  isQueued: boolean;
  /** The last read brought more than one piece. */
  isBulk: boolean;
  /** Waits for its turn to read on. */
  isWaiting: boolean;
};

/**
 * Parses what callers send in small pieces, one connection after another. HTTP
 * servers of Node parse all that one read has brought at once: thousands of
 * requests or chunks, which take memory and keep other callers waiting.
 */
export class ReadPacer {
  readonly #clock: Clock;
  readonly #readings = new WeakMap<Socket, Reading>();
  /** Connections with bytes to parse, in the order of their turns. */
  readonly #queue: Reading[] = [];
  /** Connections that read on one after another, once nothing is left to parse. */
  readonly #waiting: Reading[] = [];
  #isScheduled = false;

  private constructor(server: Server, clock: Clock) {
    this.#clock = clock;
    server.on("connection", (socket: Socket) => this.#follow(socket));
  }

  static create(server: Server, clock: Clock): ReadPacer {
    return new ReadPacer(server, clock);
  }

  /** Parses and reads no more from a connection until it is released. */
  hold(socket: Socket): void {
    const reading = this.#readings.get(socket);
    if (reading === undefined) return;
    reading.isHeld = true;
    socket.pause();
  }

  release(socket: Socket): void {
    const reading = this.#readings.get(socket);
    if (reading === undefined || !reading.isHeld) return;
    reading.isHeld = false;
    this.#enqueue(reading);
  }

  /** Takes the place of the listener with which Node's server parses what it reads. */
  #follow(socket: Socket): void {
    const listeners = socket.listeners("data") as Reading["parse"][];
    // A server that reads in another way is left to do so; its connections are never held.
    if (listeners.length === 0) return;
    const reading: Reading = {
      socket,
      parse: (bytes) => {
        for (const listener of listeners) listener.call(socket, bytes);
      },
      rest: undefined,
      isHeld: false,
      isQueued: false,
      isBulk: false,
      isWaiting: false,
    };
    this.#readings.set(socket, reading);
    socket.removeAllListeners("data");
    socket.on("data", (bytes: Buffer) => {
      reading.rest =
        reading.rest === undefined
          ? bytes
          : Buffer.concat([reading.rest, bytes]);
      reading.isBulk = bytes.length > pieceBytes;
      this.#parseNext(reading);
    });
    // The end of a response and the reading of a body make Node read on.
    socket.on("resume", () => {
      const { isHeld, isWaiting, rest } = reading;
      if (!isHeld && !isWaiting && rest === undefined) return;
      socket.pause();
      if (!isHeld && rest !== undefined) this.#enqueue(reading);
    });
  }

  /** Parses what has been read until the turn of the connection is over. */
  #parseNext(reading: Reading): void {
    const { socket } = reading;
    const turnEnd = this.#clock.now() + turnTime;
    while (mayParse(reading)) {
      const { rest } = reading;
      if (rest === undefined) return this.#readOn(reading);
      if (this.#clock.now() >= turnEnd) {
        socket.pause();
        return this.#enqueue(reading);
      }
      const isLast = rest.length <= pieceBytes;
      reading.rest = isLast ? undefined : rest.subarray(pieceBytes);
      reading.parse(rest.subarray(0, pieceBytes));
    }
    // Nothing is read behind a last answer.
    if (!socket.writable) reading.rest = undefined;
  }

  #enqueue(reading: Reading): void {
    if (reading.isQueued) return;
    reading.isQueued = true;
    this.#queue.push(reading);
    this.#schedule();
  }

  /** Reads on at once behind a small read; else in turn, so that few large reads are kept at a time. */
  #readOn(reading: Reading): void {
    const { socket, isBulk, isWaiting } = reading;
    if (!isBulk) return void socket.resume();
    if (isWaiting) return;
    reading.isWaiting = true;
    socket.pause();
    this.#waiting.push(reading);
    this.#schedule();
  }

  /** One connection in each turn of the event loop, so that other work goes on between them. */
  #schedule(): void {
    const isIdle = this.#queue.length === 0 && this.#waiting.length === 0;
    if (this.#isScheduled || isIdle) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#takeTurn();
      this.#schedule();
    });
  }

  #takeTurn(): void {
    const reading = this.#queue.shift();
    if (reading !== undefined) {
      reading.isQueued = false;
      return this.#parseNext(reading);
    }
    const next = this.#waiting.shift();
    if (next === undefined) return;
    next.isWaiting = false;
    if (mayParse(next)) next.socket.resume();
  }
}

function mayParse({ socket, isHeld }: Reading): boolean {
  return socket.writable && !isHeld && !isPausedByServer(socket);
}

/** Whether Node's server has paused a connection that does not take its answers; it must not parse then. */
function isPausedByServer(socket: Socket): boolean {
  return (socket as Socket & { _paused?: boolean })._paused === true;
}
