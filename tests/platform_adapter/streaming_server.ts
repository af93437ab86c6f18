import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { headers } from "../../platform/wire_names.ts";

/** Interval between two events of a stream, in ms. */
const eventInterval = 50;

/** One run of a request at the server. */
export type ServerRun = {
  readonly requestId: string;
  outcome: "running" | "whole" | "cut";
};

/** Backend server that runs `/s/DURATION` as a stream, and any other path at once; durations in ms. */
export class StreamingServer {
  readonly runs: ServerRun[] = [];
  readonly #server: Server;

  private constructor() {
    this.#server = createServer((request, response) => {
      const requestId = String(request.headers[headers.requestId]);
      const run: ServerRun = { requestId, outcome: "running" };
      this.runs.push(run);
      response.setHeader(headers.requestId, requestId);
      response.setHeader(headers.seal, "seal");
      response.on("close", () => {
        run.outcome = response.writableFinished ? "whole" : "cut";
      });
      const duration = Number(request.url?.split("/")[2] ?? 0);
      request.resume();
      request.on("end", () => {
        if (request.url?.startsWith("/s/")) streamEvents(response, duration);
        else setTimeout(() => response.end("booked"), duration);
      });
    });
  }

  static async open(): Promise<StreamingServer> {
    const server = new StreamingServer();
    server.#server.listen(0, "127.0.0.1");
    await once(server.#server, "listening");
    return server;
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  findRun(requestId: string): ServerRun | undefined {
    return this.runs.find((run) => run.requestId === requestId);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

function streamEvents(response: ServerResponse, duration: number): void {
  response.setHeader("content-type", "text/event-stream");
  const endsAt = performance.now() + duration;
  let id = 0;
  const writeEvent = () => {
    if (response.destroyed) return;
    id++;
    response.write(`id: ${id}\ndata: x\n\n`);
    if (performance.now() >= endsAt) return void response.end();
    setTimeout(writeEvent, eventInterval);
  };
  writeEvent();
}
