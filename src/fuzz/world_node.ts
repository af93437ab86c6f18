import type { Clock, Millis } from "../core/clock.ts";
import {
  brandString,
  type EngineId,
  type NodeId,
  type Region,
} from "../core/ids.ts";
import { defaultSessionSettings } from "../core/lease/state.ts";
import { defaultLoadLimits } from "../core/loads/limits.ts";
import type { EngineView } from "../core/routing/view.ts";
import { reportLease } from "../node/lease_report.ts";
import { LoadBudget } from "../node/load_budget.ts";
import { Node } from "../node/node.ts";
import { PermitReconciler } from "../node/permit_reconciler.ts";
import { PoisonManager } from "../node/poison_manager.ts";
import type { ClusterMember, ClusterPort } from "../ports/cluster.ts";
import { silentJournal, silentMeter } from "../ports/journal.ts";
import type { PeerForwarder } from "../ports/peers.ts";
import { ForwardRelay } from "./forward_relay.ts";
import { Gate, NodeClock } from "./gate.ts";
import type { World } from "./world.ts";
import { resolveModel, worldCatalog } from "./world_catalog.ts";
import { WorldEngineLink } from "./world_engine.ts";
import { WorldTable } from "./world_table.ts";

/** Time after which an unreachable node is suspected and declared dead, in ms. */
const suspectAfter = 2_000;
const deadAfter = 6_000;

/** One node of the world with its way to everything outside. */
export class WorldNode {
  readonly id: NodeId;
  readonly gate = new Gate();
  readonly clock: Clock;
  readonly node: Node;
  readonly poison: PoisonManager;
  killed = false;
  /** The node ended by itself after a drain. */
  stopped = false;
  /** Servers that the node knows to be leaving, and since when. */
  readonly leavingSince = new Map<string, number>();
  /** Time since which the node does not answer others. */
  downSince: number | undefined;
  #reconciler: PermitReconciler | undefined;
  readonly #stopReports: () => void;
  readonly #world: World;
  readonly #table: WorldTable;
  readonly #cluster: ClusterPort;
  readonly #permits: LoadBudget;
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
    this.poison = PoisonManager.create({
      clock: this.clock,
      table: this.#table,
      random: world.random,
      createToken: () => brandString(`${this.id}.poison.${this.#tokens++}`),
      journal: silentJournal,
      meter: silentMeter,
      publish: (digest, record) => this.#cluster.publishPoison(digest, record),
    });
    this.#permits = this.#createPermits();
    this.node = this.#createNode();
    this.#stopReports = reportLease(this.node, {
      permits: this.#permits,
      clock: this.clock,
      views: () => this.#views.values(),
    });
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
    const permits = this.#permits;
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
        current: () => worldCatalog,
        resolveModel,
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
      onSessionRemoved: (lease) =>
        permits.send({ type: "lease-removed", lease }),
      onStopped: () => {
        this.stopped = true;
        this.#stopDuties();
        this.downSince = world.clock.now();
        world.noteStopped(this);
      },
    });
  }

  /** The node's share of the load budget, with what keeps it up to date. */
  #createPermits(): LoadBudget {
    const world = this.#world;
    const shared = { clock: this.clock, table: this.#table };
    const permits = LoadBudget.create({
      ...shared,
      policies: { limits: defaultLoadLimits, random: world.random },
      onGrant: (engine) => this.node.grantPermit(engine),
      journal: silentJournal,
      meter: silentMeter,
    });
    this.#reconciler = PermitReconciler.create({
      ...shared,
      isResponsible: () => world.firstAwake() === this,
      onOrphan: (lease) => permits.send({ type: "lease-removed", lease }),
    });
    return permits;
  }

  /** Ends at once, as a killed process does. */
  stop(): void {
    this.#stopDuties();
    this.node.stop();
  }

  #stopDuties(): void {
    this.#reconciler?.stop();
    this.#stopReports();
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
        broadcast((other) => other.poison.receiveRecord(digest, record)),
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
