import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Interval at which figures of the process are read, in ms. */
const sampleInterval = 20;
/** Maximum time for a connection to be opened, or to take what is written, in ms. */
const stepAllowed = 5_000;

/** Connections of callers that go beyond the limits; they read nothing. */
export class Crowd {
  readonly #port: number;
  readonly #sockets: Socket[] = [];

  private constructor(port: number) {
    this.#port = port;
  }

  static create(port: number): Crowd {
    return new Crowd(port);
  }

  /** Runs the same steps on many new connections at once. */
  async run(
    count: number,
    act: (socket: Socket, position: number) => Promise<unknown>,
  ): Promise<void> {
    const all = Array.from({ length: count }, async (_, position) => {
      const socket = connect(this.#port, "127.0.0.1");
      this.#sockets.push(socket);
      socket.on("error", () => {});
      await settle(socket, once(socket, "connect"));
      // The end of the connection is noticed only while it is read.
      socket.pause();
      await act(socket, position);
    });
    await Promise.all(all);
  }

  /** Writes the same bytes on all connections, behind what each has sent. */
  async pushAll(bytes: string): Promise<void> {
    await Promise.all(this.#sockets.map((socket) => push(socket, bytes)));
  }

  close(): void {
    for (const socket of this.#sockets.splice(0)) socket.destroy();
  }
}

/** Writes bytes and resolves once they are taken, the connection is closed or the other end stops reading. */
export async function push(
  socket: Socket,
  bytes: Buffer | string,
): Promise<void> {
  if (socket.destroyed || socket.writableNeedDrain) return;
  if (socket.write(bytes)) return;
  await settle(socket, once(socket, "drain"));
}

/** Resolves with a step, at the end of the connection or after a time. */
async function settle(socket: Socket, step: Promise<unknown>): Promise<void> {
  const stop = new AbortController();
  const { signal } = stop;
  await Promise.race([
    step.catch(() => {}),
    once(socket, "close", { signal }).catch(() => {}),
    sleep(stepAllowed, undefined, { signal }).catch(() => {}),
  ]);
  stop.abort();
}

/** Greatest values that are read while steps run. */
export async function watchPeak(
  read: () => number,
  steps: () => Promise<unknown>,
): Promise<number> {
  let peak = read();
  const timer = setInterval(() => {
    peak = Math.max(peak, read());
  }, sampleInterval);
  try {
    await steps();
  } finally {
    clearInterval(timer);
  }
  return Math.max(peak, read());
}
