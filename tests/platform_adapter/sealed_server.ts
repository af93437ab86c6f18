import { once } from "node:events";
import { createServer, type Server } from "node:http";

/** Backend server that answers each request with its seal. */
export class SealedServer {
  readonly #server: Server;
  /** Number of requests answered. */
  answered = 0;
  /** Body of its status report. */
  report: string = JSON.stringify({
    Stage: "ready",
    Models: [],
    Busy: false,
    Sequence: 0,
  });

  private constructor() {
    this.#server = createServer((message, response) => {
      message.resume();
      if (message.url === "/report") return void response.end(this.report);
      if (message.url === "/order") {
        response.writeHead(409).end();
        return;
      }
      this.answered++;
      response.writeHead(200, {
        "content-length": 2,
        "goldcrestwinch-request-id":
          message.headers["goldcrestwinch-request-id"] ?? "",
        "goldcrestwinch-server-seal": "x.1",
      });
      response.end("ok");
    });
  }

  static async open(): Promise<SealedServer> {
    const server = new SealedServer();
    server.#server.listen(0, "127.0.0.1");
    await once(server.#server, "listening");
    return server;
  }

  get address(): string {
    const { port } = this.#server.address() as { port: number };
    return `127.0.0.1:${port}`;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
