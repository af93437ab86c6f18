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

  /** Connects to `IP:PORT`. */
  static async open(address: string): Promise<RawConnection> {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    await once(socket, "connect");
    return new RawConnection(socket);
  }

  write(text: string): void {
    this.#socket.write(text);
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
