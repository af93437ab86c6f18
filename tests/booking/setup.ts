import { xoroshiro128plus } from "pure-rand";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import {
  type AttemptToken,
  brandString,
  type LeaseId,
  type NodeId,
  type RowKey,
  type ServiceName,
} from "../../src/core/ids.ts";
import { type CallReply, ServiceDesk } from "../../src/node/service_desk.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";
import { FakeServer, FakeTable } from "./fakes.ts";

/** Random numbers from 0 to 1 that are the same for the same seed. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.unsafeNext() >>> 0) / 2 ** 32;
}

const service: ServiceName = brandString("depot");

/** One node with its session lease. */
export type TestNode = {
  readonly desk: ServiceDesk;
  readonly id: NodeId;
  lease: LeaseId | undefined;
  readonly leaving: Set<string>;
};

/** What a test varies of a call. */
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
  readonly table = new FakeTable(this.clock);
  readonly servers = [0, 1, 2].map(() => new FakeServer(this.clock));
  readonly #random = createRandom(7);
  #requests = 0;

  /** Starts a node whose session row exists. */
  createNode(name: string): TestNode {
    const id: NodeId = brandString(name);
    const leaving = new Set<string>();
    const node = { id, leaving, lease: brandString<LeaseId>(`${name}.1`) };
    this.renewSession(name, node.lease);
    const desk = ServiceDesk.create({
      clock: this.clock,
      table: this.table,
      links: (asked) =>
        asked === service
          ? this.servers.map((link, index) => ({
              id: `s${index}`,
              link,
              leaving: leaving.has(`s${index}`),
            }))
          : undefined,
      routes: new Map([[service, [{ method: "GET", path: "/stock" }]]]),
      journal: silentJournal,
      meter: silentMeter,
      random: this.#random,
      nodeId: id,
      currentLease: () => node.lease,
    });
    return Object.assign(node, { desk });
  }

  /** Writes or removes the session row of a node. */
  renewSession(name: string, lease: LeaseId | undefined): void {
    const key = brandString<RowKey>(`session/${name}`);
    if (lease === undefined) {
      this.table.rows.delete(key);
      return;
    }
    const value = { lease, dataCentre: "krk" };
    const attempt = brandString<AttemptToken>("session");
    this.table.rows.set(key, { key, version: 1, value, attempt });
  }

  /** Starts a call and gives a reader of its reply. */
  call(node: TestNode, shape: CallShape = {}): () => CallReply | undefined {
    let reply: CallReply | undefined;
    void node.desk
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

  /** Runs one call and gives what the caller is told in a few words. */
  async tell(node: TestNode, shape: CallShape = {}): Promise<string> {
    const reply = this.call(node, shape);
    for (let step = 0; step < 200 && reply() === undefined; step++) {
      await this.clock.advance(millis(50));
    }
    return describeReply(reply());
  }

  /** Calls that any server ran. */
  get runs(): number {
    return this.servers.reduce((sum, { runs }) => sum + runs.length, 0);
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
