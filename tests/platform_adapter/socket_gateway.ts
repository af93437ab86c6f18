import { Left } from "purify-ts";
import { HttpServerLinks } from "../../platform/server_links.ts";
import { HttpServerNotices } from "../../platform/server_notices.ts";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis } from "../../src/core/clock.ts";
import {
  type GatewayRoute,
  groupRoutes,
} from "../../src/core/gateway/configuration.ts";
import type { BackendServer } from "../../src/core/gateway/servers.ts";
import { brandNumber, brandString } from "../../src/core/ids.ts";
import type { Refusal } from "../../src/core/results/refusal.ts";
import { Gateway } from "../../src/node/gateway/gateway.ts";
import { noBacklog } from "../../src/ports/event_backlog.ts";
import type { InstallationChange } from "../../src/ports/gateway.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";
import { noRelays } from "../../src/ports/relays.ts";
import {
  booking,
  createRoute,
  entryOrigin,
} from "../gateway/gateway_values.ts";
import { ampleRetryLimits } from "../support/retry_limits.ts";
import { SocketNetwork } from "./socket_network.ts";

/** How a request ended for its caller. */
export type CallEnd =
  | { readonly kind: "answered"; readonly status: number }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  | { readonly kind: "aborted" };

/** Gateway with real connections to its servers; all else is in memory. */
export class SocketGateway {
  readonly gateway: Gateway;
  readonly clock = RealClock.create();
  readonly #links: HttpServerLinks;
  readonly #servers: BackendServer[] = [];
  #publish: (change: InstallationChange) => void = () => {};
  #requests = 0;

  constructor(
    route: Partial<GatewayRoute>,
    { machine, network }: { machine: string; network: SocketNetwork },
  ) {
    const { clock } = this;
    const peerAddress = `127.0.0.1:${network.gateways.size + 1}`;
    const dataCentre = brandString<BackendServer["dataCentre"]>("tatry-a");
    const notices = HttpServerNotices.create();
    const { readHead } = notices;
    this.#links = HttpServerLinks.create({
      clock,
      meter: silentMeter,
      readHead,
    });
    this.gateway = Gateway.create({
      identity: {
        machine: brandString(machine),
        process: "p1",
        dataCentre,
        region: brandString("tatry"),
        regions: new Map([[dataCentre, brandString("tatry")]]),
        peerAddress,
      },
      clock,
      random: createSeededRandom(1),
      journal: silentJournal,
      meter: silentMeter,
      links: this.#links,
      backlog: noBacklog,
      probe: async () => true,
      relayLinks: noRelays,
      notices,
      retryLimits: ampleRetryLimits,
      table: network.table,
      streamTable: network.table,
      readLeaseRows: () => network.readLeaseRows(),
      feed: {
        viewTime: () => clock.now(),
        follow: (listener) => {
          this.#publish = listener;
        },
        stop: () => {},
      },
      orders: {
        order: async () => ({ kind: "unreachable" }),
        fetchStatus: async () => Left({ detail: "No engine" }),
      },
      nodeLinks: {
        acquire: async () => ({ kind: "refused", reason: "unreachable" }),
        requestModel: async () => ({ kind: "refused", reason: "unreachable" }),
        requestPermit: async (address, request) =>
          network.gateways.get(address)?.requestPermit(request),
        findStream: async (address, query) =>
          network.gateways.get(address)?.findStream(query),
      },
      followTableRows: () => {},
      nodeChannel: { send() {}, onMessage() {}, close() {} },
    });
    network.gateways.set(peerAddress, this.gateway);
    this.#configure(createRoute({ retryRule: "repeatable", ...route }));
  }

  static create(
    route: Partial<GatewayRoute> = {},
    member = { machine: "n1", network: SocketNetwork.create() },
  ): SocketGateway {
    return new SocketGateway(route, member);
  }

  register(...servers: BackendServer[]): void {
    this.#servers.push(...servers);
    for (const server of servers) {
      const change = { type: "present", server } as const;
      this.#publish({ type: "server", change, origin: entryOrigin });
    }
    this.#publish({ type: "complete", topic: "servers" });
  }

  /** Sends one request and resolves when its caller has the final answer. */
  call(): Promise<CallEnd> {
    const id = `r${++this.#requests}`;
    return new Promise((resolve) => {
      let status = 0;
      this.gateway.open(
        {
          requestId: brandString(id),
          method: "POST",
          host: "h.example",
          target: "/b/x",
          path: "/b/x",
          headers: ["Host", "h.example", "Goldcrestwinch-Request-Id", id],
          body: new Uint8Array(0),
          demand: undefined,
          deadline: millis(10_000),
          resumeAfter: undefined,
          arrivedAt: this.clock.now(),
        },
        {
          start: (head) => {
            status = head.status;
          },
          write: () => true,
          end: () => resolve({ kind: "answered", status }),
          refuse: (refusal) => resolve({ kind: "refused", refusal }),
          abort: () => resolve({ kind: "aborted" }),
        },
      );
    });
  }

  async stop(): Promise<void> {
    await this.gateway.stop();
    for (const server of this.#servers)
      await this.#links.endpointOf(server).close();
  }

  #configure(route: GatewayRoute): void {
    const value = {
      revision: brandNumber<never>(1),
      routes: groupRoutes([route]),
      services: new Map([
        [booking, { name: booking, maxConnections: 100, engine: undefined }],
      ]),
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000_000,
        headerTimeout: millis(3_000),
        idleTimeout: millis(15_000),
      },
    };
    this.#publish({ type: "configuration", value });
    this.#publish({ type: "complete", topic: "operator" });
  }
}
