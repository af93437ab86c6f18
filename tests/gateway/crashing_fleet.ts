import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { type Millis, millis } from "../../src/core/clock.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import type { NodeMessage } from "../../src/ports/nodes.ts";
import { MemoryTable } from "../../src/standins/memory_table.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { createRoute, createServer } from "./gateway_values.ts";
import type { RecordedAnswer, RecordedAttempt } from "./recorded_exchange.ts";

/** How long a server works on a request, and how long it is down after a crash, in ms. */
const workTime = millis(100);
const downTime = millis(2_500);
/** Maximum delay of a message between two nodes, in ms. */
const maxDelay = 60;

/** Path of the request that crashes each server that runs it. */
export const deadlyPath = "/b/deadly";

export type CrashingFleetOptions = {
  readonly seed: number;
  readonly nodes: number;
  readonly servers: number;
  /** Part of the messages between nodes that is lost. */
  readonly loss?: number;
};

type Server = { born: number; isDown: boolean };

/** Nodes on virtual time before servers that one request crashes; messages between nodes are late, and some are lost. */
export class CrashingFleet {
  readonly clock = VirtualClock.create();
  readonly table = MemoryTable.create(this.clock);
  readonly nodes: GatewayFixture[] = [];
  readonly random: () => number;
  /** Times at which servers crashed, and at which the deadly request was sent to a server. */
  readonly crashes: Millis[] = [];
  readonly sends: Millis[] = [];
  /** Whether a node can be reached by the others. */
  isCut: (node: number) => boolean = () => false;
  readonly #options: CrashingFleetOptions;
  readonly #servers = new Map<ServerId, Server>();

  private constructor(options: CrashingFleetOptions) {
    this.#options = options;
    this.random = createSeededRandom(options.seed);
    for (let at = 0; at < options.servers; at++)
      this.#servers.set(brandString(`s${at}`), { born: 1, isDown: false });
  }

  static async create(options: CrashingFleetOptions): Promise<CrashingFleet> {
    const fleet = new CrashingFleet(options);
    for (let at = 0; at < options.nodes; at++) fleet.addNode();
    await fleet.advance(3_000);
    return fleet;
  }

  addNode(): GatewayFixture {
    const at = this.nodes.length;
    const node = new GatewayFixture({
      clock: this.clock,
      table: this.table,
      machine: `n${at}`,
      peerAddress: formatAddress(at),
      sendMessage: (address, message) => this.#pass(at, address, message),
      onAttempt: (attempt) => this.#serve(attempt),
    });
    this.nodes.push(node);
    node.configure([createRoute({ retryRule: "repeatable" })]);
    node.register(...[...this.#servers.keys()].map((id) => this.#describe(id)));
    for (const [id, { isDown }] of this.#servers)
      if (isDown) node.downEngines.add(id);
    return node;
  }

  /** Sends the deadly request to a node. */
  sendDeadly(at: number): RecordedAnswer {
    const fields = { target: deadlyPath, body: new Uint8Array(0) };
    return (this.nodes[at] as GatewayFixture).open(fields).answer;
  }

  /** Sends a request to a node that no other request is like. */
  sendSound(at: number): RecordedAnswer {
    return (this.nodes[at] as GatewayFixture).open().answer;
  }

  pickNode(): number {
    return Math.floor(this.random() * this.nodes.length);
  }

  async advance(ms: number): Promise<void> {
    await this.clock.advance(millis(ms));
  }

  /** Number of sends of the deadly request later than `delay` ms after the third crash. */
  countLateSends(delay: number): number {
    const third = this.crashes[2] ?? Number.POSITIVE_INFINITY;
    return this.sends.filter((at) => at > third + delay).length;
  }

  #pass(from: number, address: string, message: NodeMessage): void {
    const to = this.nodes.findIndex((_, at) => formatAddress(at) === address);
    const isLost = this.random() < (this.#options.loss ?? 0);
    if (isLost || this.isCut(from) || this.isCut(to)) return;
    const delay = millis(1 + this.random() * maxDelay);
    this.clock.schedule(delay, () => this.nodes[to]?.receive(message));
  }

  #serve(attempt: RecordedAttempt): void {
    const server = this.#servers.get(attempt.server) as Server;
    const isDeadly = attempt.order.request.target === deadlyPath;
    if (server.isDown) return attempt.fail("unreachable");
    if (isDeadly) this.sends.push(this.clock.now());
    const { born } = server;
    this.clock.schedule(workTime, () => {
      if (attempt.cancelled) return;
      const isSame = !server.isDown && server.born === born;
      if (isSame && isDeadly) this.#crash(attempt.server, server);
      if (!isSame || isDeadly) attempt.fail("broken");
      else attempt.answer("ok");
    });
  }

  #crash(id: ServerId, server: Server): void {
    this.crashes.push(this.clock.now());
    server.isDown = true;
    for (const node of this.nodes) node.downEngines.add(id);
    this.clock.schedule(downTime, () => {
      server.isDown = false;
      server.born = this.clock.now();
      for (const node of this.nodes) {
        node.downEngines.delete(id);
        node.register(this.#describe(id));
      }
    });
  }

  #describe(id: ServerId) {
    const born = this.#servers.get(id)?.born;
    return createServer({ id, address: `10.0.1.${id.slice(1)}:80`, born });
  }
}

function formatAddress(node: number): string {
  return `10.0.0.${node}:7000`;
}
