import { createServer as createHttpServer, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { Right } from "purify-ts";
import { FrontServer } from "../../platform/front_server.ts";
import { HttpServerLinks } from "../../platform/server_links.ts";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { type Millis, millis } from "../../src/core/clock.ts";
import {
  type GatewayConfiguration,
  groupRoutes,
} from "../../src/core/gateway/configuration.ts";
import type { OrganisationDirectory } from "../../src/core/gateway/organisations.ts";
import { brandNumber, brandString, type ServerId } from "../../src/core/ids.ts";
import { Gateway } from "../../src/node/gateway/gateway.ts";
import { noBacklog } from "../../src/ports/event_backlog.ts";
import type {
  InstallationChange,
  InstallationFeed,
} from "../../src/ports/gateway.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";
import { noRelays } from "../../src/ports/relays.ts";
import { MemoryTable } from "../../src/standins/memory_table.ts";
import {
  booking,
  createRoute,
  createServer,
  entryOrigin,
} from "../gateway/gateway_values.ts";
import { ampleRetryLimits } from "../support/retry_limits.ts";
import { type RawAnswer, RawServer } from "./raw_server.ts";

/** Time after which a caller stops reading, in ms. */
const readTimeout = 2_000;

/** Route of the fixture, and how long a connection of a caller may be idle. */
type FrontOptions = Parameters<typeof createRoute>[0] & {
  readonly idleTimeout?: Millis;
  /** Organisations of the first configuration. */
  readonly organisations?: OrganisationDirectory;
};

/** Front server, gateway and links on real sockets, with raw backend servers. */
export class FrontFixture {
  readonly servers: RawServer[];
  readonly #gateway: Gateway;
  readonly #front: FrontServer;
  readonly #links: HttpServerLinks;
  readonly #options: FrontOptions;
  #nodeCalls: Server | undefined;
  #publish: (change: InstallationChange) => void = () => {};
  #revision = 0;
  #port = 0;

  private constructor(servers: RawServer[], options: FrontOptions) {
    const clock = RealClock.create();
    this.#options = options;
    this.servers = servers;
    this.#links = HttpServerLinks.create({ clock, meter: silentMeter });
    this.#gateway = createGateway({ clock, links: this.#links }, (listener) => {
      this.#publish = listener;
      this.configure(options.organisations);
      for (const [at, { address }] of servers.entries()) {
        listener({
          type: "server",
          change: { type: "present", server: describeServer(address, at) },
          origin: entryOrigin,
        });
      }
      listener({ type: "complete", topic: "servers" });
    });
    this.#front = FrontServer.create({ gateway: this.#gateway, clock });
  }

  /** Starts a front whose route leads to one raw server per answer. */
  static async create(
    options: FrontOptions,
    ...answers: RawAnswer[]
  ): Promise<FrontFixture> {
    const servers = await Promise.all(answers.map(RawServer.create));
    const fixture = new FrontFixture(servers, options);
    fixture.#port = await fixture.#front.listen("127.0.0.1:0");
    return fixture;
  }

  /** Puts the next configuration into force, with these organisations. */
  configure(organisations?: OrganisationDirectory): void {
    this.#revision++;
    const value = this.#describeConfiguration(organisations);
    this.#publish({ type: "configuration", value });
    this.#publish({ type: "complete", topic: "operator" });
  }

  #describeConfiguration(
    organisations: OrganisationDirectory | undefined,
  ): GatewayConfiguration {
    const { idleTimeout = millis(15_000), ...route } = this.#options;
    return {
      revision: brandNumber(this.#revision),
      routes: groupRoutes([createRoute(route)]),
      services: new Map([
        [booking, { name: booking, maxConnections: 100, engine: undefined }],
      ]),
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000_000,
        headerTimeout: millis(3_000),
        idleTimeout,
      },
      organisations,
    };
  }

  /** Opens the listener for the other nodes; returns its address. */
  async openNodeCalls(): Promise<string> {
    const server = createHttpServer((message, response) => {
      if (!this.#front.serveRelayed(message, response))
        response.writeHead(404).end();
    });
    this.#nodeCalls = server;
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Port for callers. */
  get port(): number {
    return this.#port;
  }

  /** Sends one request on a connection of its own; returns all bytes until the connection ends. */
  call(
    id: string,
    options: { readonly version?: string; readonly fields?: string } = {},
  ): Promise<RawResponse> {
    const { version = "1.1", fields = "" } = options;
    const text = `POST /b/x HTTP/${version}\r\nHost: h.example\r\nGoldcrestwinch-Request-Id: ${id}\r\nConnection: close\r\n${fields}Content-Length: 2\r\n\r\nhi`;
    return new Promise((resolve) => {
      let received = "";
      let isReset = false;
      const socket = connect(this.#port, "127.0.0.1", () => socket.write(text));
      const timer = setTimeout(() => socket.destroy(), readTimeout);
      socket.on("data", (chunk) => {
        received += chunk;
      });
      socket.on("error", () => {
        isReset = true;
      });
      socket.on("close", () => {
        clearTimeout(timer);
        resolve(parseResponse(received, isReset));
      });
    });
  }

  async close(): Promise<void> {
    this.#nodeCalls?.closeAllConnections();
    this.#nodeCalls?.close();
    for (const server of this.servers) server.close();
    for (const [at, { address }] of this.servers.entries())
      await this.#links.endpointOf(describeServer(address, at)).close();
    await this.#front.stopAccepting();
    await this.#gateway.stop();
  }
}

/** What a caller received on its connection. */
export type RawResponse = {
  /** 0 without an answer. */
  readonly status: number;
  readonly head: string;
  /** Content of the body, without the framing of chunks. */
  readonly body: string;
  /** The response is complete by its framing. */
  readonly isComplete: boolean;
};

/** Reads an answer from all bytes of its connection. */
export function parseResponse(received: string, isReset: boolean): RawResponse {
  const end = received.indexOf("\r\n\r\n");
  const head = end < 0 ? received : received.slice(0, end);
  const rest = end < 0 ? "" : received.slice(end + 4);
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0);
  const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
  if (length !== undefined)
    return { status, head, body: rest, isComplete: rest.length >= +length };
  if (!/\r\ntransfer-encoding: chunked/i.test(head))
    return { status, head, body: rest, isComplete: end >= 0 && !isReset };
  return { status, head, ...readChunks(rest) };
}

function readChunks(text: string): { body: string; isComplete: boolean } {
  let body = "";
  let at = 0;
  for (;;) {
    const lineEnd = text.indexOf("\r\n", at);
    if (lineEnd < 0) return { body, isComplete: false };
    const size = Number.parseInt(text.slice(at, lineEnd), 16);
    if (size === 0) return { body, isComplete: true };
    body += text.slice(lineEnd + 2, lineEnd + 2 + size);
    at = lineEnd + 2 + size + 2;
  }
}

function describeServer(address: string, at: number) {
  return createServer({ id: brandString<ServerId>(`s${at + 1}`), address });
}

function createGateway(
  { clock, links }: { clock: RealClock; links: HttpServerLinks },
  follow: InstallationFeed["follow"],
): Gateway {
  return Gateway.create({
    identity: {
      machine: brandString("n1"),
      process: "p1",
      dataCentre: brandString("tatry-a"),
      region: brandString("tatry"),
      regions: new Map([[brandString("tatry-a"), brandString("tatry")]]),
      peerAddress: "10.0.0.9:7000",
    },
    clock,
    random: createSeededRandom(1),
    journal: silentJournal,
    meter: silentMeter,
    links,
    backlog: noBacklog,
    probe: async () => true,
    relayLinks: noRelays,
    retryLimits: ampleRetryLimits,
    table: MemoryTable.create(clock),
    streamTable: MemoryTable.create(clock),
    readLeaseRows: async () => undefined,
    feed: {
      viewTime: () => clock.now(),
      follow,
      stop: () => {},
    },
    orders: {
      order: async () => ({ kind: "unreachable" }),
      // Servers state their start in their reports.
      fetchStatus: async ({ models, orderCount, born }) =>
        Right({ models, orderCount, born, incoming: [], busy: false }),
    },
    notices: { follow: () => {} },
    nodeLinks: {
      acquire: async () => ({ kind: "refused", reason: "unreachable" }),
      requestModel: async () => ({ kind: "refused", reason: "unreachable" }),
      requestPermit: async () => undefined,
      findStream: async () => undefined,
    },
    followTableRows: () => {},
    nodeChannel: { send: () => {}, onMessage: () => {}, close: () => {} },
  });
}
