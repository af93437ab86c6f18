import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** One request with its complete body, and its response. */
export type HttpExchange = {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly path: string;
  readonly body: Buffer;
};

/** HTTP listener on loopback whose connections can be broken or silenced. */
export class HttpHost {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Connections accepted since the start. */
  accepted = 0;

  constructor(handle: (exchange: HttpExchange) => void) {
    this.#server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on("data", (chunk: Buffer) => chunks.push(chunk));
      request.on("end", () => {
        const path = request.url ?? "/";
        handle({ request, response, path, body: Buffer.concat(chunks) });
      });
    });
    this.#server.on("connection", (socket) => {
      this.accepted++;
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  static async create(
    handle: (exchange: HttpExchange) => void,
    { port = 0 } = {},
  ): Promise<HttpHost> {
    const host = new HttpHost(handle);
    await new Promise<void>((resolve) =>
      host.#server.listen(port, "127.0.0.1", resolve),
    );
    return host;
  }

  get origin(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Drops all further output on the open connections; calls on them still run. */
  silenceConnections(): void {
    for (const socket of this.#sockets) socket.write = () => true;
  }

  /** Breaks all connections and stops listening. */
  async close(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    await new Promise((resolve) => this.#server.close(resolve));
  }
}

/** Sends a JSON response. */
export function sendJson(
  response: ServerResponse,
  { status = 200, value }: { status?: number; value?: unknown },
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value ?? null));
}
