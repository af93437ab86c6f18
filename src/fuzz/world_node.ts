import { type Clock, type Millis, millis } from "../core/clock.ts";
import type { Catalog } from "../core/config/catalog.ts";
import {
  type AdapterKey,
  brandString,
  type EngineId,
  formatAdapterKey,
  type NodeId,
  parseAdapterKey,
  type Region,
} from "../core/ids.ts";
import { defaultSessionSettings } from "../core/lease/state.ts";
import { refuse } from "../core/results/refusal.ts";
import type { EngineView } from "../core/routing/view.ts";
import { Node } from "../node/node.ts";
import { PoisonDesk } from "../node/poison_desk.ts";
import type { AnswerSink } from "../ports/access.ts";
import type { ClusterMember, ClusterPort } from "../ports/cluster.ts";
import type { StreamControl } from "../ports/engine.ts";
import { silentJournal, silentMeter } from "../ports/journal.ts";
import type { PeerForwarder } from "../ports/peers.ts";
import { Gate, NodeClock } from "./gate.ts";
import type { World } from "./world.ts";
import { WorldEngineLink } from "./world_engine.ts";
import { WorldPermits } from "./world_permits.ts";
import { WorldTable } from "./world_table.ts";

/** Time after which an unreachable node is suspected and declared dead, in ms. */
const suspectAfter = 2_000;
const deadAfter = 6_000;
/** Time after which a forwarded stream without bytes is given up, in ms. */
const silenceLimit = 3_000;
/** Time between two looks at the liveness of a forwarded stream, in ms. */
const livenessInterval = 500;

/** Adapter versions that callers may name. */
export const worldAdapters: readonly AdapterKey[] = Array.from(
  { length: 8 },
  (_, index) =>
    formatAdapterKey(
      brandString(`ad${index}`),
      brandString(`v${1 + (index % 2)}`),
    ),
);

const catalog: Catalog = {
  revision: 1 as Catalog["revision"],
  digest: brandString("catalog"),
  adapters: new Map(
    worldAdapters
      .map(parseAdapterKey)
      .map(({ name, version }) => [
        name,
        { name, versions: [version], busy: [], weight: 1 },
      ]),
  ),
};

/** One node of the world with its way to everything outside. */
export class WorldNode {
  readonly id: NodeId;
  readonly gate = new Gate();
  readonly clock: Clock;
  readonly node: Node;
  readonly poison: PoisonDesk;
  killed = false;
  /** The node ended by itself after a drain. */
  stopped = false;
  /** Servers that the node knows to be leaving, and since when. */
  readonly leavingSince = new Map<string, number>();
  /** Time since which the node does not answer others. */
  downSince: number | undefined;
  readonly #world: World;
  readonly #table: WorldTable;
  readonly #cluster: ClusterPort;
  #tokens = 0;
  readonly #views = new Map<EngineId, EngineView>();

  constructor(
    readonly name: string,
    options: { world: World; region: Region; run: number },
  ) {
    const { world, region, run } = options;
    this.#world = world;
    this.region = region;
    this.id = brandString(`${name}-${run}`);
    this.clock = new NodeClock(world.clock, this.gate);
    this.#table = new WorldTable(world.rows, {
      clock: world.clock,
      gate: this.gate,
      fault: () => world.tableFaultFor(this),
    });
    this.#cluster = this.#createCluster();
    this.poison = PoisonDesk.create({
      clock: this.clock,
      table: this.#table,
      random: world.random,
      createToken: () => brandString(`${this.id}.poison.${this.#tokens++}`),
      journal: silentJournal,
      meter: silentMeter,
      spread: (digest, record) => this.#cluster.publishPoison(digest, record),
    });
    this.node = this.#createNode();
    this.node.markConfigured();
  }

  readonly region: Region;

  /** Whether the node takes part in the world. */
  get running(): boolean {
    return !this.killed && !this.stopped;
  }

  #createNode(): Node {
    const world = this.#world;
    const { clock, gate, region } = this;
    const end = {
      clock: world.clock,
      gate,
      isKilled: () => !this.running,
    };
    const permits = new WorldPermits(clock, (engine) =>
      this.node.grantPermit(engine),
    );
    return Node.create({
      nodeId: this.id,
      region,
      dataCentre: brandString(`${region}-1`),
      clock,
      random: world.random,
      journal: silentJournal,
      meter: silentMeter,
      table: this.#table,
      forwarder: this.#createForwarder(),
      cluster: this.#cluster,
      configuration: {
        current: () => catalog,
        resolveModel: (model) => {
          const { name, version } = parseAdapterKey(brandString(model));
          const entry = catalog.adapters.get(name);
          if (entry === undefined) return { kind: "unknown-adapter" };
          return entry.versions.includes(version)
            ? { kind: "found", key: brandString(model) }
            : { kind: "unknown-version" };
        },
      },
      permits,
      poison: this.poison,
      engines: world.enginesOf(region).map(({ engine, limits, model }) => ({
        engine,
        limits,
        link: new WorldEngineLink(model, {
          ...end,
          isCut: () => world.isCut(this, engine),
          holdsOrders: limits.fencing === "checked",
          onWork: () => world.noteWork(engine, this),
        }),
      })),
      services: new Map([
        [
          world.service,
          [...world.servers].map(([id, server]) => ({
            id,
            leaving: false,
            link: server.linkFrom({
              gate,
              isCut: () => !this.running || world.isCut(this, id),
              onWork: () => world.noteWork(id, this),
            }),
          })),
        ],
      ]),
      lookups: new Map([[world.service, [{ method: "GET", path: "/stock" }]]]),
      session: defaultSessionSettings,
      onStopped: () => {
        this.stopped = true;
        this.downSince = world.clock.now();
        world.noteStopped(this);
      },
    });
  }

  /** The node hears that a server is leaving. */
  hearLeaving(server: string): void {
    this.gate.pass(() => {
      if (this.running) this.node.markLeaving(server);
    });
  }

  #createForwarder(): PeerForwarder {
    const world = this.#world;
    return {
      forward: (address, request, sink) => {
        const target = world.nodes.find(({ id }) => id === address);
        const relay = new ForwardRelay(sink, {
          clock: world.clock,
          near: this,
          far: target,
          isCut: () => target === undefined || world.isCut(this, target.name),
        });
        world.clock.schedule(world.delayTo(this, target), () => {
          if (!this.running || relay.ended) return;
          if (target === undefined || !target.running || relay.isCut()) {
            relay.refuseUnsent();
            return;
          }
          target.gate.pass(() => {
            if (relay.ended || !target.running) return;
            relay.control = target.node.acceptForward(request, relay);
          });
        });
        return relay;
      },
    };
  }

  #createCluster(): ClusterPort {
    const world = this.#world;
    const broadcast = (deliver: (other: WorldNode) => void) => {
      for (const other of world.nodes) {
        if (other === this || !other.running) continue;
        world.clock.schedule(world.delayTo(this, other), () => {
          if (!world.isCut(this, other.name)) {
            other.gate.pass(() => {
              if (other.running) deliver(other);
            });
          }
        });
      }
    };
    return {
      members: () => world.nodes.map((other) => this.#describeMember(other)),
      engineViews: () => this.#views.values(),
      publishEngines: (views) =>
        broadcast((other) => other.#receiveViews(views)),
      publishOutage: () => {},
      publishDemand: () => {},
      outageConfirmedAt: () => this.#confirmOutage(),
      publishLeaving: (server) => world.noteLeaving(server, this),
      publishPoison: (digest, record) =>
        broadcast((other) => other.poison.hear(digest, record)),
      leave: async () => {},
    };
  }

  /** Now, when every other node of the region that may be running is heard to be without the table. */
  #confirmOutage(): Millis | undefined {
    const world = this.#world;
    const others = world.nodes.filter(
      (other) =>
        other !== this && other.region === this.region && !other.stopped,
    );
    const confirmed = others.every(
      (other) =>
        world.unreachableSince(this, other) === undefined &&
        other.node.session.failing,
    );
    return confirmed ? world.clock.now() : undefined;
  }

  #describeMember(other: WorldNode): ClusterMember {
    const world = this.#world;
    const since = world.unreachableSince(this, other);
    const silence = since === undefined ? 0 : world.clock.now() - since;
    const state = other.stopped
      ? "left"
      : silence >= deadAfter
        ? "dead"
        : silence >= suspectAfter
          ? "suspect"
          : "alive";
    const { id, region } = other;
    const dataCentre = brandString<ClusterMember["dataCentre"]>(`${region}-1`);
    return { node: id, region, dataCentre, state, peers: id };
  }

  #receiveViews(views: readonly EngineView[]): void {
    const heardAt = this.#world.clock.now();
    for (const view of views)
      this.#views.set(view.engine, { ...view, heardAt });
  }
}

/** Relays one forwarded stream back to the entry node. */
class ForwardRelay implements AnswerSink, StreamControl {
  control: StreamControl | undefined;
  ended = false;
  readonly isCut: () => boolean;
  readonly #sink: AnswerSink;
  readonly #clock: Clock;
  readonly #near: WorldNode;
  readonly #far: WorldNode | undefined;
  #silentSince: number | undefined;
  /** Bytes were lost on the way, so nothing after them may be delivered. */
  #lost = false;

  constructor(
    sink: AnswerSink,
    options: {
      clock: Clock;
      near: WorldNode;
      far: WorldNode | undefined;
      isCut: () => boolean;
    },
  ) {
    this.#sink = sink;
    this.#clock = options.clock;
    this.#near = options.near;
    this.#far = options.far;
    this.isCut = options.isCut;
    this.#watch();
  }

  onChunk(bytes: Uint8Array, count: number): void {
    this.#pass(() => this.#sink.onChunk(bytes, count));
  }

  onEnd(): void {
    this.#pass(() => this.#end(() => this.#sink.onEnd()));
  }

  onRefusal(refusal: Parameters<AnswerSink["onRefusal"]>[0]): void {
    this.#pass(() => this.#end(() => this.#sink.onRefusal(refusal)));
  }

  refuseUnsent(): void {
    const refusal = refuse("peerLost", "The owner does not answer", {
      outcome: "not-run",
    });
    this.#end(() => this.#sink.onRefusal(refusal));
  }

  cancel(): void {
    this.ended = true;
    this.control?.cancel();
  }

  pause(): void {
    this.control?.pause();
  }

  resume(): void {
    this.control?.resume();
  }

  #end(tell: () => void): void {
    if (this.ended) return;
    this.ended = true;
    tell();
  }

  #pass(deliver: () => void): void {
    this.#lost ||= this.isCut();
    if (this.#lost) return;
    this.#near.gate.pass(() => {
      if (!this.ended && this.#near.running) deliver();
    });
  }

  /** Notices a broken connection at once and a silent one after 3 s. */
  #watch(): void {
    this.#clock.schedule(millis(livenessInterval), () => {
      if (this.ended) return;
      if (!this.#near.running) return this.cancel();
      const isPaused = this.#far?.gate.paused === true;
      if (!this.#lost && !this.isCut() && !isPaused && this.#far?.running) {
        this.#silentSince = undefined;
        return this.#watch();
      }
      this.#silentSince ??= this.#clock.now();
      const silence = this.#clock.now() - this.#silentSince;
      if (this.#far?.running && silence < silenceLimit) return this.#watch();
      this.control?.cancel();
      this.#near.gate.pass(() =>
        this.#end(() =>
          this.#sink.onRefusal(refuse("peerLost", "The owner was lost")),
        ),
      );
    });
  }
}
