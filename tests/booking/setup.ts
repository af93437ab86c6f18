import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { type Millis, millis } from "../../src/core/clock.ts";
import {
  brandString,
  type LeaseId,
  type NodeId,
  type ServiceName,
} from "../../src/core/ids.ts";
import { FaultyTable, type TableFault } from "../../src/fuzz/faulty_table.ts";
import { PauseGate } from "../../src/fuzz/pause_gate.ts";
import {
  type ServerFault,
  type ServiceRun,
  SimulatedServer,
} from "../../src/fuzz/simulated_server.ts";
import {
  type CallReply,
  ServiceCallManager,
} from "../../src/node/service_call_manager.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";
import { MemoryTable } from "../../src/standins/memory_table.ts";

const service: ServiceName = brandString("depot");

/** One node with its session lease. */
export type TestNode = {
  readonly callManager: ServiceCallManager;
  readonly id: NodeId;
  lease: LeaseId | undefined;
  readonly leaving: Set<string>;
  /** Time at which the node exits; undefined while it does not stop. */
  exitAt: Millis | undefined;
};

/** Fields of a call that a test sets; the others have defaults. */
export type CallShape = {
  key?: string;
  body?: string;
  path?: string;
  method?: string;
  customer?: string;
  within?: number;
  service?: string;
};

/** Several nodes over one table and one booking service. */
export class BookingSetup {
  readonly clock = VirtualClock.create();
  readonly rows = MemoryTable.create(this.clock);
  tableFault: TableFault | undefined;
  readonly ran: ServiceRun[] = [];
  readonly servers = ["s0", "s1", "s2"].map(
    (id) =>
      new SimulatedServer(id, {
        clock: this.clock,
        onRun: (run) => this.ran.push(run),
      }),
  );
  readonly table = new FaultyTable(this.rows, {
    clock: this.clock,
    gate: new PauseGate(),
    fault: () => this.tableFault,
  });
  /** Calls that reached a server in a pause that it had asked the node for. */
  pausedWork = 0;
  readonly #random = createSeededRandom(7);
  #requests = 0;

  /** Starts a node whose session row exists. */
  createNode(name: string): TestNode {
    const id: NodeId = brandString(name);
    const leaving = new Set<string>();
    const node: Omit<TestNode, "callManager"> = {
      id,
      leaving,
      lease: brandString<LeaseId>(`${name}.1`),
      exitAt: undefined,
    };
    this.renewSession(name, node.lease);
    const callManager = ServiceCallManager.create({
      clock: this.clock,
      table: this.table,
      listServers: (requested) =>
        requested === service
          ? this.servers.map((server, index) => ({
              id: `s${index}`,
              link: server.createLink({
                gate: new PauseGate(),
                isCut: () => false,
                onNewWork: () => {},
                onPausedWork: () => this.pausedWork++,
                onLeavingSaid: () => {},
              }),
              leaving: leaving.has(`s${index}`),
            }))
          : undefined,
      lookups: new Map([[service, [{ method: "GET", path: "/stock" }]]]),
      journal: silentJournal,
      meter: silentMeter,
      random: this.#random,
      nodeId: id,
      currentLease: () => node.lease,
      exitAt: () => node.exitAt,
    });
    return Object.assign(node, { callManager });
  }

  /** Writes or removes the session row of a node. */
  renewSession(name: string, lease: LeaseId | undefined): void {
    const value = lease && { lease, dataCentre: "krk" };
    void this.rows.transact({
      attempt: brandString("session"),
      conditions: [],
      writes: [{ key: brandString(`session/${name}`), value }],
    });
  }

  /** Sets the fault of every server. */
  failServers(fault: ServerFault | undefined): void {
    for (const server of this.servers) server.fault = fault;
  }

  /** Starts a call and returns a function that reads its reply. */
  call(node: TestNode, shape: CallShape = {}): () => CallReply | undefined {
    let reply: CallReply | undefined;
    void node.callManager
      .call({
        service: brandString(shape.service ?? service),
        method: shape.method ?? "POST",
        path: shape.path ?? "/reservations",
        contentType: "text/plain",
        body: new TextEncoder().encode(shape.body ?? "two sets"),
        customer: brandString(shape.customer ?? "zakopane"),
        idempotencyKey: shape.key,
        requestId: brandString(`r${this.#requests++}`),
        deadline: millis(this.clock.now() + (shape.within ?? 5_000)),
      })
      .then((value) => {
        reply = value;
      });
    return () => reply;
  }

  /** Runs one call and describes its reply. */
  async callAndDescribe(
    node: TestNode,
    shape: CallShape = {},
  ): Promise<string> {
    const reply = this.call(node, shape);
    for (let step = 0; step < 200 && reply() === undefined; step++) {
      await this.clock.advance(millis(50));
    }
    return describeReply(reply());
  }

  /** Number of calls that any server ran. */
  get runs(): number {
    return this.ran.length;
  }
}

/** The reply as `STATUS replayed` or `CODE OUTCOME`. */
export function describeReply(reply: CallReply | undefined): string {
  if (reply === undefined) return "no reply";
  return reply.caseOf({
    Left: ({ code, outcome }) => `${code} ${outcome}`,
    Right: ({ status, replayed }) =>
      replayed ? `${status} replayed` : `${status}`,
  });
}
