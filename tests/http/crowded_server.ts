import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import {
  type CloseReason,
  ConnectionLimiter,
} from "../../src/adapters/http/connection_limiter.ts";
import { ReadPacer } from "../../src/adapters/http/read_pacer.ts";
import { RequestsAhead } from "../../src/adapters/http/requests_ahead.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { ByteBudget } from "../../src/core/gateway/byte_budget.ts";
import { RawConnection } from "../support/raw_connection.ts";

/** HTTP server with the limits on callers, whose requests are answered by the test. */
export class CrowdedServer {
  /** Time of the limit on connections. */
  readonly clock = VirtualClock.create();
  /** Paths of the requests that were taken, and of those that were started. */
  readonly taken: string[] = [];
  readonly started: string[] = [];
  readonly closed: (CloseReason | "ahead")[] = [];
  /** Whether a request with a stopped body is there to be refused. */
  hasStopped = false;
  readonly budget: ByteBudget;
  readonly #responses = new Map<string, ServerResponse>();
  readonly #server: Server;
  readonly #connections: RawConnection[] = [];

  private constructor(limits: { connections: number; heldBytes: number }) {
    this.budget = ByteBudget.create(limits.heldBytes);
    this.#server = createServer((message, response) => {
      const path = message.url ?? "";
      response.on("error", () => {});
      connections.recordRequest(message, response);
      if (!ahead.admit(message, response)) return;
      this.taken.push(path);
      message.resume();
      message.on("end", () =>
        ahead.start(message, response, () => {
          this.started.push(path);
          this.#responses.set(path, response);
        }),
      );
    });
    const connections = ConnectionLimiter.create(this.#server, {
      limit: limits.connections,
      clock: this.clock,
      refuseStopped: () => this.hasStopped,
      onClosed: (reason) => this.closed.push(reason),
    });
    const ahead = RequestsAhead.create({
      budget: this.budget,
      pacer: ReadPacer.create(this.#server, RealClock.create()),
      onCut: () => this.closed.push("ahead"),
    });
  }

  /** Starts a server; without limits it has those that no test reaches. */
  static async open(
    limits: { connections?: number; heldBytes?: number } = {},
  ): Promise<CrowdedServer> {
    const { connections = 1_000, heldBytes = 1024 ** 3 } = limits;
    const crowded = new CrowdedServer({ connections, heldBytes });
    crowded.#server.listen(0, "127.0.0.1");
    await once(crowded.#server, "listening");
    return crowded;
  }

  /** Opens a connection and resolves once the server has accepted it. */
  async connect(): Promise<RawConnection> {
    const { port } = this.#server.address() as AddressInfo;
    const accepted = once(this.#server, "connection");
    const connection = await RawConnection.open(port);
    this.#connections.push(connection);
    await accepted;
    return connection;
  }

  /** Answers a request that was started. */
  answer(path: string): void {
    this.#responses.get(path)?.end(path);
  }

  close(): void {
    for (const connection of this.#connections) connection.destroy();
    this.#server.closeAllConnections();
    this.#server.close();
  }
}
