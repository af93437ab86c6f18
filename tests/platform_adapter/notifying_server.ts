import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** How a server answers one request. */
export type ServerAnswer = {
  readonly status: number;
  readonly headers?: Record<string, string>;
};

/** Usual time that a served request takes, in ms. */
const usualServiceTime = 20;

/** Backend server on loopback that records its arrivals and answers as the test says. */
export class NotifyingServer {
  /** Times of arrival, in ms of `performance.now()`. */
  readonly arrivals: number[] = [];
  /** Decides the answer to each request; all but 503 are sealed. */
  answer: (now: number) => ServerAnswer = () => ({ status: 200 });
  readonly #server: Server;
  readonly #serviceTime: number;

  private constructor(serviceTime: number) {
    this.#serviceTime = serviceTime;
    this.#server = createServer((request, response) => {
      request.resume();
      const now = performance.now();
      this.arrivals.push(now);
      const id = request.headers["goldcrestwinch-request-id"] as string;
      this.#respond(response, id, this.answer(now));
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  static async create(
    serviceTime = usualServiceTime,
  ): Promise<NotifyingServer> {
    const created = new NotifyingServer(serviceTime);
    await new Promise<void>((resolve) =>
      created.#server.listen(0, "127.0.0.1", resolve),
    );
    return created;
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Number of requests that arrived from `start` to `end`. */
  countArrivals(start: number, end: number): number {
    return this.arrivals.filter((at) => at >= start && at < end).length;
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #respond(response: ServerResponse, id: string, answer: ServerAnswer): void {
    const isServed = answer.status < 300;
    const isSealed = answer.status !== 503;
    const write = () => {
      response.writeHead(answer.status, {
        "Goldcrestwinch-Request-Id": id,
        ...(isSealed
          ? { "Goldcrestwinch-Server-Seal": "x" }
          : { "Goldcrestwinch-Not-Executed": "1" }),
        ...answer.headers,
      });
      response.end(isServed ? "ok" : "");
    };
    if (isServed) setTimeout(write, this.#serviceTime);
    else write();
  }
}

/** Pause that a server asks for, from the first answer to the end of the time. */
export class RequestedPause {
  readonly #length: number;
  startedAt: number | undefined;

  constructor(length: number) {
    this.#length = length;
  }

  get end(): number {
    return (this.startedAt ?? Number.NaN) + this.#length;
  }

  /** Refuses until the pause has ended; each refusal states the time that is left. */
  readonly answer = (now: number): ServerAnswer => {
    this.startedAt ??= now;
    if (now >= this.end) return { status: 200 };
    const seconds = ((this.end - now) / 1_000).toFixed(3);
    return { status: 503, headers: { "Retry-After": seconds } };
  };
}
