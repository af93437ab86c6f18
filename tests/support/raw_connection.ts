import { once } from "node:events";
import { connect, type Socket } from "node:net";

/** One connection of a caller that decides itself when to write and when to read. */
export class RawConnection {
  readonly #socket: Socket;
  received = "";
  isClosed = false;
  /** Resolves when the peer has closed the connection or reset it. */
  readonly closed: Promise<void>;

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.setNoDelay(true);
    socket.on("data", (chunk) => {
      this.received += chunk.toString("latin1");
    });
    socket.on("error", () => {});
    this.closed = new Promise((resolve) => {
      socket.on("close", () => {
        this.isClosed = true;
        resolve();
      });
    });
  }

  /** Connects to `IP:PORT`, or to a port of this machine. */
  static async open(address: string | number): Promise<RawConnection> {
    const [host, port] = `${address}`.includes(":")
      ? `${address}`.split(":")
      : ["127.0.0.1", address];
    const socket = connect(Number(port), host);
    await once(socket, "connect");
    return new RawConnection(socket);
  }

  write(text: string): void {
    this.#socket.write(text);
  }

  /** Number of complete chunked responses. */
  countEnds(): number {
    return this.received.split("\r\n0\r\n\r\n").length - 1;
  }

  /** Resolves in the turn in which a condition on the received bytes holds, or at the end of the connection. */
  waitUntil(isMet: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      const check = () => {
        if (!isMet() && !this.isClosed) return;
        this.#socket.off("data", check);
        resolve();
      };
      this.#socket.on("data", check);
      this.#socket.on("close", check);
      check();
    });
  }

  /** Stops reading until `resume`. */
  pause(): void {
    this.#socket.pause();
  }

  resume(): void {
    this.#socket.resume();
  }

  destroy(): void {
    this.#socket.destroy();
  }
}

/** Text of a POST request with a complete body. */
export function formatPost(
  path: string,
  options: { headers?: Record<string, string>; body?: string } = {},
): string {
  const { headers = {}, body = "{}" } = options;
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `POST ${path} HTTP/1.1\r\nhost: node\r\n${lines.join("")}content-length: ${body.length}\r\n\r\n${body}`;
}
