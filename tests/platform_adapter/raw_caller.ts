import { once } from "node:events";
import { connect, type Socket } from "node:net";

/** Caller that writes bytes as it likes to one connection and keeps what it receives. */
export class RawCaller {
  readonly #socket: Socket;
  received = "";
  isClosed = false;
  readonly closed: Promise<void>;

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.setNoDelay(true);
    socket.on("data", (chunk) => {
      this.received += chunk;
    });
    socket.on("error", () => {});
    this.closed = new Promise((resolve) => {
      socket.on("close", () => {
        this.isClosed = true;
        resolve();
      });
    });
  }

  static async open(port: number): Promise<RawCaller> {
    const socket = connect(port, "127.0.0.1");
    const caller = new RawCaller(socket);
    await once(socket, "connect");
    return caller;
  }

  write(text: string): void {
    this.#socket.write(text);
  }

  /** Number of complete chunked responses. */
  countEnds(): number {
    return this.received.split("\r\n0\r\n\r\n").length - 1;
  }

  /** Resolves in the turn in which a condition on the received bytes holds. */
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

  destroy(): void {
    this.#socket.destroy();
  }
}

/** Text of a request; `isComplete` false leaves out its body of four bytes. */
export function formatRequest(
  requestId: string,
  path: string,
  { deadline = 10_000, isComplete = true } = {},
): string {
  const head = [
    `POST ${path} HTTP/1.1`,
    "Host: desk.example",
    `Goldcrestwinch-Request-Id: ${requestId}`,
    `Goldcrestwinch-Deadline-Ms: ${deadline}`,
    "Content-Length: 4",
  ];
  return `${head.join("\r\n")}\r\n\r\n${isComplete ? "body" : ""}`;
}
