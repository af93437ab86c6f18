import { Left, Right } from "purify-ts";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { ConfinedClock } from "../../src/adapters/time/confined_clock.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { type Millis, millis, sleep } from "../../src/core/clock.ts";
import {
  type GatewayConfiguration,
  type GatewayRoute,
  groupRoutes,
} from "../../src/core/gateway/configuration.ts";
import type {
  EngineOrder,
  OrderAnswer,
} from "../../src/core/gateway/orders.ts";
import type { BackendServer } from "../../src/core/gateway/servers.ts";
import type { ServiceRetryLimits } from "../../src/core/gateway/service_retry_budget.ts";
import {
  brandNumber,
  brandString,
  type ServerId,
  type StoreEpoch,
} from "../../src/core/ids.ts";
import { Gateway } from "../../src/node/gateway/gateway.ts";
import type { LeaseRead } from "../../src/node/gateway/rows/lease_rows.ts";
import { type EventBacklog, noBacklog } from "../../src/ports/event_backlog.ts";
import type { ReportFailure } from "../../src/ports/failures.ts";
import type {
  EngineOrders,
  InstallationChange,
  ProbeServer,
  ProxiedRequest,
  RowOrigin,
  ServerNotice,
} from "../../src/ports/gateway.ts";
import {
  type Journal,
  type Meter,
  silentJournal,
  silentMeter,
} from "../../src/ports/journal.ts";
import type { NodeMessage } from "../../src/ports/nodes.ts";
import { noRelays, type RelayLinks } from "../../src/ports/relays.ts";
import type { Transaction } from "../../src/ports/table.ts";
import { MemoryTable } from "../../src/standins/memory_table.ts";
import { ampleRetryLimits } from "../support/retry_limits.ts";
import {
  booking,
  dataCentre,
  engines,
  entryOrigin,
  region,
} from "./gateway_values.ts";
import {
  RecordedAnswer,
  type RecordedAttempt,
  recordAttempts,
} from "./recorded_exchange.ts";
import { traits } from "./simulated_engine.ts";

/** Above the version of any single row of the memory table. */
const minReadVersion = 1_000_000;

type GatewayFixtureOptions = {
  readonly clock?: VirtualClock;
  readonly table?: MemoryTable;
  readonly machine?: string;
  readonly peerAddress?: string;
  /** Sends a message to another node. */
  readonly sendMessage?: (address: string, message: NodeMessage) => void;
  /** Called with each request that is sent to a server. */
  readonly onAttempt?: (attempt: RecordedAttempt) => void;
  /** Whether the node can open a connection to a server. */
  readonly probe?: ProbeServer;
  readonly relayLinks?: RelayLinks;
  readonly reportFailure?: ReportFailure;
  readonly retryLimits?: ServiceRetryLimits;
  readonly backlog?: EventBacklog;
  readonly journal?: Journal;
  readonly meter?: Meter;
};

/** Gateway with fakes for its ports, on a virtual clock. */
export class GatewayFixture {
  readonly clock: VirtualClock;
  readonly table: MemoryTable;
  readonly attempts: RecordedAttempt[] = [];
  readonly orders: EngineOrder[] = [];
  readonly gateway: Gateway;
  /** Time that a status request takes. */
  statusDelay = millis(0);
  /** Number of status requests that engines got. */
  statusRequests = 0;
  /** Engines that have crashed. */
  readonly downEngines = new Set<ServerId>();
  /** Time for which the node has seen all changes of the servers, if not now. */
  viewTime: Millis | undefined;
  /** Starts that engines report, if they differ from those of their entries. */
  readonly reportedStarts = new Map<ServerId, number>();
  orderAnswer: OrderAnswer = { kind: "accepted" };
  #publish: (change: InstallationChange) => void = () => {};
  #notify: (server: BackendServer, notice: ServerNotice) => void = () => {};
  #deliver: (message: NodeMessage, from: string) => void = () => {};
  readonly #orderedEngines: ServerId[] = [];
  #requests = 0;
  #leaseReads = 0;
  /** Epoch of the table, and that of its commits if it differs. */
  epoch = brandNumber<StoreEpoch>(0);
  commitEpoch: StoreEpoch | undefined;
  tableWrites = 0;
  /** Number of reads of the lease rows that reject. */
  rejectedLeaseReads = 0;

  /**
   * The table of another fixture outlives its node; nodes with one clock run at
   * the same time. Errors of timers are thrown unless they are reported.
   */
  constructor({
    clock = VirtualClock.create(),
    table = MemoryTable.create(clock),
    machine = "n1",
    peerAddress = "10.0.0.9:7000",
    sendMessage = () => {},
    onAttempt = () => {},
    probe = async () => true,
    relayLinks = noRelays,
    reportFailure,
    retryLimits = ampleRetryLimits,
    backlog = noBacklog,
    journal = silentJournal,
    meter = silentMeter,
  }: GatewayFixtureOptions = {}) {
    this.clock = clock;
    this.table = table;
    const engineOrders: EngineOrders = {
      order: async (server, order) => {
        this.orders.push(order);
        this.#orderedEngines.push(server.id);
        return this.orderAnswer;
      },
      fetchStatus: async (server) => {
        this.statusRequests++;
        if (this.statusDelay > 0) await sleep(this.clock, this.statusDelay);
        if (this.downEngines.has(server.id))
          return Left({ detail: "The connection was refused" });
        return Right({
          models: server.models,
          incoming: [],
          busy: false,
          orderCount: this.orders.length,
          born: this.reportedStarts.get(server.id) ?? server.born,
        });
      },
    };
    this.gateway = Gateway.create({
      identity: {
        machine: brandString(machine),
        process: "p1",
        dataCentre,
        region,
        regions: new Map([[dataCentre, region]]),
        peerAddress,
      },
      clock:
        reportFailure === undefined
          ? this.clock
          : ConfinedClock.create(this.clock, reportFailure),
      ...(reportFailure === undefined ? {} : { reportFailure }),
      random: createSeededRandom(1),
      journal,
      meter,
      links: recordAttempts((attempt) => {
        this.attempts.push(attempt);
        queueMicrotask(() => onAttempt(attempt));
      }),
      backlog,
      probe,
      relayLinks,
      retryLimits,
      table: {
        read: (key) => this.table.read(key),
        scan: (prefix) => this.table.scan(prefix),
        transact: (transaction) => this.#transact(transaction),
      },
      streamTable: this.table,
      readLeaseRows: () => this.#readLeaseRows(),
      feed: {
        viewTime: () => this.viewTime ?? clock.now(),
        follow: (listener) => {
          this.#publish = listener;
        },
        stop: () => {},
      },
      orders: engineOrders,
      notices: {
        follow: (listener) => {
          this.#notify = listener;
        },
      },
      nodeLinks: {
        acquire: async () => ({ kind: "refused", reason: "unreachable" }),
        requestModel: async () => ({ kind: "refused", reason: "unreachable" }),
        requestPermit: async () => undefined,
        findStream: async () => undefined,
      },
      followTableRows: (prefix, { onRow }) => {
        void this.table
          .scan(prefix)
          .then((rows) => rows.orDefault([]).forEach(onRow));
      },
      nodeChannel: {
        send: sendMessage,
        onMessage: (listener) => {
          this.#deliver = listener;
        },
        close: () => {},
      },
    });
  }

  async #transact(transaction: Transaction) {
    this.tableWrites++;
    const result = await this.table.transact(transaction);
    const epoch = this.commitEpoch ?? this.epoch;
    return result.map((commit) =>
      commit.kind === "committed" ? { ...commit, epoch } : commit,
    );
  }

  /** Reads the table at each call; its newest version counts the reads. */
  async #readLeaseRows(): Promise<LeaseRead | undefined> {
    if (this.rejectedLeaseReads-- > 0) throw new Error("rejected");
    const confirmedAt = this.clock.now();
    const result = await this.table.scan("");
    this.#leaseReads++;
    const newest = minReadVersion + this.#leaseReads;
    const { epoch } = this;
    return result
      .map((rows) => ({ rows, epoch, newest, confirmedAt }))
      .toMaybe()
      .extract();
  }

  /** Delivers a message of another node. */
  receive(message: NodeMessage): void {
    this.#deliver(message, "10.0.0.8:7000");
  }

  /** Delivers what a server says about itself in an answer. */
  notify(server: BackendServer, notice: ServerNotice): void {
    this.#notify(server, notice);
  }

  /** Delivers another node's records of crashes that one of these parts has caused. */
  reportCrash(parts: readonly string[], crashes = ["e9/1"]): void {
    for (const part of parts) {
      this.receive({
        type: "poison",
        from: brandString("n2"),
        digest: brandString(part),
        record: { crashes, cleared: [] },
      });
    }
  }

  publish(change: InstallationChange): void {
    this.#publish(change);
  }

  configure(
    routes: GatewayRoute[],
    revision = 1,
    {
      organisations,
      ...origin
    }: RowOrigin & Pick<GatewayConfiguration, "organisations"> = {},
  ): void {
    const value: GatewayConfiguration = {
      revision: brandNumber(revision),
      routes: groupRoutes(routes),
      services: new Map([
        [booking, { name: booking, maxConnections: 100, engine: undefined }],
        [engines, { name: engines, maxConnections: 100, engine: traits }],
      ]),
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000_000,
        headerTimeout: millis(3_000),
        idleTimeout: millis(15_000),
      },
      organisations,
    };
    this.publish({ type: "configuration", value, ...origin });
    this.publish({ type: "complete", topic: "operator" });
  }

  register(...servers: BackendServer[]): void {
    for (const server of servers) {
      this.publish({
        type: "server",
        change: { type: "present", server },
        origin: entryOrigin,
      });
    }
    this.publish({ type: "complete", topic: "servers" });
  }

  open(fields: Partial<ProxiedRequest> = {}) {
    const answer = new RecordedAnswer(this.clock);
    this.#requests++;
    const request: ProxiedRequest = {
      requestId: brandString(`r${this.#requests}`),
      method: "POST",
      host: "h.example",
      target: "/b/x",
      path: "/b/x",
      headers: [],
      // The requests of different callers are not alike.
      body: new TextEncoder().encode(`body ${this.#requests}`),
      demand: undefined,
      deadline: millis(3_000),
      resumeAfter: undefined,
      arrivedAt: this.clock.now(),
      ...fields,
    };
    const control = this.gateway.open(request, answer);
    return { answer, control };
  }

  async advance(ms: number): Promise<void> {
    await this.clock.advance(millis(ms));
  }

  /** Engine that received an order, by the order's position. */
  engineOfOrder(position: number): ServerId {
    return this.#orderedEngines[position] as ServerId;
  }

  /** The latest attempt. */
  lastAttempt(): RecordedAttempt {
    const attempt = this.attempts.at(-1);
    if (attempt === undefined) throw new Error("Nothing was sent");
    return attempt;
  }
}
