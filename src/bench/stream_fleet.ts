import { Left, Right } from "purify-ts";
import { VirtualClock } from "../adapters/time/virtual_clock.ts";
import { type Millis, millis, sleep } from "../core/clock.ts";
import type { BackendServer } from "../core/gateway/servers.ts";
import {
  brandString,
  type MachineName,
  type RequestId,
  type ServerId,
  type SoftwareVersion,
} from "../core/ids.ts";
import type { GatewayContext } from "../node/gateway/context.ts";
import {
  type FetchStatus,
  IncarnationWatch,
} from "../node/gateway/servers/incarnation_watch.ts";
import { StreamKeeper } from "../node/gateway/streams/stream_keeper.ts";
import { StreamPeers } from "../node/gateway/streams/stream_peers.ts";
import type { NodeLinks, NodeMessage } from "../ports/nodes.ts";
import type { StreamQuery } from "../ports/streams.ts";
import type { TableService } from "../ports/table.ts";
import { CountedTable } from "./counted_table.ts";
import { drawExponential } from "./random.ts";
import { type Cut, isDelivered, reachesStore } from "./stream_fleet_cuts.ts";
import {
  createContext,
  createServer,
  type FleetNode,
  service,
} from "./stream_fleet_node.ts";

/** Streams that each node begins a second. */
const streamRate = 2;
/** Range of the duration of a stream, and of the time until its caller takes it up, in ms. */
const minDuration = 1_000;
const maxDuration = 6_000;
const maxReturnTime = 500;
/** Share of the streams that break. */
const breakShare = 0.2;
/** Time for which a node waits for the origin of a stream, in ms. */
const maxOriginWait = 1_500;
/** Servers of the service, of which a half is replaced, one each interval in ms. */
const serverCount = 12;
const releaseInterval = 400;
/** Largest delay until a node sees a change of the servers, in ms. */
const maxViewLag = 2_700;
/** Time that a process takes to start again, in ms. */
const restartTime = 1_000;
/** Timeout of a call to another node, in ms. */
const callTimeout = millis(250);
/** Servers at which a take-up is tried. */
const maxAttempts = 2;

/** One-way delay of a message between nodes, in ms, and the share of datagrams that is lost. */
const minMessageDelay = 1;
const messageDelaySpread = 20;
const messageLoss = 0.02;

const refused = { kind: "refused", reason: "unreachable" } as const;
const unusedLinks: Omit<NodeLinks, "findStream"> = {
  acquire: async () => refused,
  requestModel: async () => refused,
  requestPermit: async () => undefined,
};

type OpenStream = {
  readonly id: RequestId;
  /** Version of the server that began it. */
  readonly version: SoftwareVersion | undefined;
  readonly node: FleetNode;
};

/** What became of the take-ups of streams. */
export type TakeUps = {
  resumed: number;
  refused: number;
  /** Streams that went on at another version than the one that began them. */
  joined: number;
};

/** Number of take-ups, whatever became of them. */
export function countTakeUps({ resumed, refused, joined }: TakeUps): number {
  return resumed + refused + joined;
}

/** Nodes that pass on streams of servers of two software versions, on virtual time. */
export class StreamFleet {
  readonly clock = VirtualClock.create();
  /** Take-ups at nodes that were not restarted, and at those that were. */
  readonly unaffected: TakeUps = { resumed: 0, refused: 0, joined: 0 };
  readonly restarted: TakeUps = { resumed: 0, refused: 0, joined: 0 };
  /** Messages and calls between nodes. */
  messages = 0;
  /** Reports that nodes asked servers for. */
  reports = 0;
  readonly table = CountedTable.create(this.clock);
  readonly #random: () => number;
  readonly #nodes: FleetNode[] = [];
  readonly #open = new Set<OpenStream>();
  /** The servers that run; nodes see them later. */
  readonly #running: BackendServer[] = [];
  readonly #watches = new Map<GatewayContext, IncarnationWatch>();
  readonly #machines: readonly MachineName[];
  #streams = 0;

  private constructor(nodes: number, random: () => number) {
    this.#machines = Array.from({ length: nodes }, (_, index) =>
      brandString<MachineName>(`n${index}`),
    );
    this.#random = random;
    for (let at = 0; at < serverCount; at++)
      this.#running.push(createServer(at, "v1"));
    for (let index = 0; index < nodes; index++) {
      const context = this.#createContext(index);
      const keeper = this.#createKeeper(context);
      const never = Number.NEGATIVE_INFINITY;
      const touch = {
        cut: undefined,
        cutAt: millis(0),
        behindUntil: millis(0),
      };
      const node = { index, ...touch, context, keeper, restartedAt: never };
      this.#nodes.push(node);
      for (const [at, server] of this.#running.entries())
        this.#show(node, server, at);
      this.#scheduleStream(node);
    }
  }

  static create(nodes: number, random: () => number): StreamFleet {
    return new StreamFleet(nodes, random);
  }

  async run(duration: number): Promise<void> {
    await this.clock.advance(millis(duration));
  }

  /** Replaces half of the servers by ones of a newer version, or starts them again under their ids. */
  release(kind: "replace" | "restart" = "replace"): void {
    for (let at = 0; at < serverCount / 2; at++) {
      this.clock.schedule(millis(at * releaseInterval), () => {
        const id = kind === "restart" ? at : serverCount + at;
        const server = createServer(id, "v1.1");
        this.#running[id] = server;
        for (const node of this.#nodes)
          this.#afterLag(node, () => this.#show(node, server, at));
      });
    }
  }

  /** Cuts a node off; it goes on serving its callers from what it knows. */
  cutOff(index: number, cut: Cut, duration: number): void {
    const node = this.#nodes[index] as FleetNode;
    node.cut = cut;
    node.cutAt = this.clock.now();
    this.clock.schedule(millis(duration), () => {
      node.cut = undefined;
      node.behindUntil = millis(this.clock.now() + maxViewLag);
    });
  }

  /** Ends the processes of a share of the nodes that are not cut off; their streams break. */
  restart(share: number): void {
    for (const node of this.#nodes) {
      if (node.cut !== undefined || this.#random() >= share) continue;
      const { servers } = node.context.directory;
      node.keeper?.stop();
      node.keeper = undefined;
      for (const stream of this.#open)
        if (stream.node === node) this.#breakOff(stream, restartTime);
      this.clock.schedule(millis(restartTime), () => {
        node.context = this.#createContext(node.index);
        for (const server of servers.values())
          node.context.directory.servers.set(server.id, server);
        node.keeper = this.#createKeeper(node.context);
        node.restartedAt = this.clock.now();
      });
    }
  }

  #createKeeper(context: GatewayContext): StreamKeeper {
    const { machine } = context.dependencies.identity;
    const peers = StreamPeers.create({
      machine,
      channel: {
        send: (to, message) => this.#send(machine, to, message),
        onMessage() {},
        close() {},
      },
      nodeLinks: {
        ...unusedLinks,
        findStream: (to, query) => this.#ask(machine, to, query),
      },
      listMachines: () => this.#machines,
      findAddress: (name) => name,
    });
    const incarnations = IncarnationWatch.create(context, {
      fetchStatus: (server) => this.#report(server),
      takePermit: async () => ({ kind: "not-needed" }),
    });
    this.#watches.set(context, incarnations);
    return StreamKeeper.create(context, {
      table: this.#createTable(machine),
      peers,
      incarnations,
      viewTime: () => this.#findViewTime(machine),
    });
  }

  /** Report of a server, which states the start of the incarnation that runs. */
  #report({ id }: BackendServer): ReturnType<FetchStatus> {
    this.reports++;
    return new Promise((resolve) => {
      this.#afterDelay(() => {
        const { models, orderCount, born } = this.#findRunning(id);
        const status = { models, orderCount, born, incoming: [], busy: false };
        this.#afterDelay(() => resolve(Right(status)));
      });
    });
  }

  /** Time for which a node has seen all changes of the servers. */
  #findViewTime(machine: MachineName): Millis {
    const node = this.#findNode(machine);
    const now = this.clock.now();
    const isBehind =
      node !== undefined && (node.cut !== undefined || now < node.behindUntil);
    return millis((isBehind ? node.cutAt : now) - maxViewLag);
  }

  /** Table as one machine reaches it. */
  #createTable(machine: MachineName): TableService {
    const isCut = () => !reachesStore(this.#findNode(machine)?.cut);
    const lost = Left({ kind: "unavailable", detail: "Cut off" } as const);
    return {
      read: async (key) => (isCut() ? lost : this.table.read(key)),
      scan: async (prefix) => (isCut() ? lost : this.table.scan(prefix)),
      transact: async (transaction) =>
        isCut() ? lost : this.table.transact(transaction),
    };
  }

  /** Whether a message of a node reaches another one. */
  #isDelivered(from: string, to: string): boolean {
    return isDelivered(this.#findNode(from)?.cut, this.#findNode(to)?.cut);
  }

  #send(from: string, to: string, message: NodeMessage): void {
    this.messages++;
    if (message.type !== "stream" || this.#random() < messageLoss) return;
    if (!this.#isDelivered(from, to)) return;
    this.#afterDelay(() => this.#findNode(to)?.keeper?.receive(message));
  }

  #ask(
    from: string,
    to: string,
    query: StreamQuery,
  ): Promise<SoftwareVersion | undefined> {
    this.messages++;
    if (!this.#isDelivered(from, to) || !this.#isDelivered(to, from))
      return sleep(this.clock, callTimeout).then(() => undefined);
    return new Promise((resolve) => {
      this.#afterDelay(() => {
        const version = this.#findNode(to)?.keeper?.find(query);
        this.#afterDelay(() => resolve(version));
      });
    });
  }

  #findRunning(id: ServerId): BackendServer {
    return this.#running[Number(id.slice(1))] as BackendServer;
  }

  #findNode(machine: string): FleetNode | undefined {
    return this.#nodes[Number(machine.slice(1))];
  }

  #afterDelay(action: () => void): void {
    const delay = minMessageDelay + this.#random() * messageDelaySpread;
    this.clock.schedule(millis(delay), action);
  }

  #createContext(index: number): GatewayContext {
    return createContext({
      index,
      nodes: this.#machines.length,
      clock: this.clock,
      random: this.#random,
    });
  }

  /** A node sees a server, in place of another one. */
  #show({ context }: FleetNode, server: BackendServer, replaced = 0): void {
    const { servers } = context.directory;
    servers.delete(createServer(replaced, "v1").id);
    servers.set(server.id, server);
    this.#watches.get(context)?.recordRegistration(server, maxViewLag);
  }

  #scheduleStream(node: FleetNode): void {
    const delay = drawExponential(1_000 / streamRate, this.#random);
    this.clock.schedule(millis(delay), () => {
      this.#scheduleStream(node);
      this.#begin(node);
    });
  }

  #begin(node: FleetNode): void {
    const { keeper, context } = node;
    if (keeper === undefined) return;
    const servers = [...context.directory.servers.values()].filter(
      (server) => !keeper.isTooNew(server),
    );
    const server = servers[Math.floor(this.#random() * servers.length)];
    if (server === undefined) return;
    const id = brandString<RequestId>(`r${++this.#streams}`);
    const version = this.#findRunning(server.id).softwareVersion;
    const stream: OpenStream = { id, version, node };
    keeper.recordBegin(id, { server, openedAt: this.clock.now() });
    this.#open.add(stream);
    const isBroken = this.#random() < breakShare;
    const share = isBroken ? this.#random() : 1;
    const duration = minDuration + this.#random() * (maxDuration - minDuration);
    this.clock.schedule(millis(share * duration), () => {
      if (!this.#open.has(stream)) return;
      if (isBroken) return this.#breakOff(stream, 0);
      this.#open.delete(stream);
      node.keeper?.recordWhole(id);
    });
  }

  /** The caller takes the stream up at a random node. */
  #breakOff(stream: OpenStream, minReturnTime: number): void {
    this.#open.delete(stream);
    const delay = minReturnTime + this.#random() * maxReturnTime;
    this.clock.schedule(millis(delay), () => void this.#takeUp(stream));
  }

  async #takeUp({ id, version }: OpenStream): Promise<void> {
    const running = this.#nodes.filter(({ keeper }) => keeper !== undefined);
    const node = running[Math.floor(this.#random() * running.length)];
    if (node?.keeper === undefined) return;
    const until = millis(this.clock.now() + maxOriginWait);
    const counts =
      node.restartedAt > Number.NEGATIVE_INFINITY
        ? this.restarted
        : this.unaffected;
    const { version: origin } = await node.keeper.findOrigin(
      service,
      id,
      until,
    );
    const next =
      origin === undefined ? undefined : await this.#goOn(node, origin);
    if (next === undefined) counts.refused++;
    else if (next === version) counts.resumed++;
    else counts.joined++;
  }

  /** Lets a stream go on at a server of a version; returns the version that it runs. */
  async #goOn(
    { keeper, context }: FleetNode,
    origin: SoftwareVersion,
  ): Promise<SoftwareVersion | undefined> {
    const untried = [...context.directory.servers.values()].filter(
      ({ softwareVersion }) => softwareVersion === origin,
    );
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const at = Math.floor(this.#random() * untried.length);
      const [server] = untried.splice(at, 1);
      if (server === undefined || keeper === undefined) return undefined;
      const { softwareVersion } = this.#findRunning(server.id);
      if (await keeper.proveServer(server, this.clock.now()))
        return softwareVersion;
    }
    return undefined;
  }

  /** Runs an action once a node has read a change of the servers. */
  #afterLag(node: FleetNode, action: () => void): void {
    const lag: Millis = millis(this.#random() * maxViewLag);
    this.clock.schedule(lag, () => {
      if (node.cut === undefined) action();
      else this.#afterLag(node, action);
    });
  }
}
