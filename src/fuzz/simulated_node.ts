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
import { FaultyTable } from "./faulty_table.ts";
import { ForwardRelay } from "./forward_relay.ts";
import type { InstallationSimulation } from "./installation_simulation.ts";
import { NodeClock, PauseGate } from "./pause_gate.ts";
import { resolveModel, simulatedCatalog } from "./simulated_catalog.ts";
import { SimulatedEngineLink } from "./simulated_engine_link.ts";

/** Time after which an unreachable node is suspected, in ms. */
const suspectAfter = 2_000;
/** Time after which an unreachable node is declared dead, in ms. */
const deadAfter = 6_000;

/** One node of the simulation with its simulated ports. */
export class SimulatedNode {
  readonly id: NodeId;
  readonly gate = new PauseGate();
  readonly clock: Clock;
  readonly node: Node;
  readonly poison: PoisonManager;
  killed = false;
  /** Whether the node has stopped after a drain. */
  stopped = false;
  /** Times at which the node learned that a server is leaving, by server. */
  readonly leavingSince = new Map<string, number>();
  /** Time since which the node is paused, killed or stopped. */
  downSince: number | undefined;
  #reconciler: PermitReconciler | undefined;
  readonly #stopReports: () => void;
  readonly #simulation: InstallationSimulation;
  readonly #table: FaultyTable;
  readonly #cluster: ClusterPort;
  readonly #permits: LoadBudget;
  #tokens = 0;
  readonly #views = new Map<EngineId, EngineView>();

  constructor(
    readonly name: string,
    options: {
      simulation: InstallationSimulation;
      region: Region;
      run: number;
    },
  ) {
    const { simulation, region, run } = options;
    this.#simulation = simulation;
    this.region = region;
    this.id = brandString(`${name}-${run}`);
    this.clock = new NodeClock(simulation.clock, this.gate);
    this.#table = new FaultyTable(simulation.rows, {
      clock: simulation.clock,
      gate: this.gate,
      fault: () => simulation.tableFaultFor(this),
    });
    this.#cluster = this.#createCluster();
    this.poison = PoisonManager.create({
      clock: this.clock,
      table: this.#table,
      random: simulation.random,
      createToken: () => brandString(`${this.id}.poison.${this.#tokens++}`),
      journal: silentJournal,
      meter: silentMeter,
      publish: ({ digest, record }) =>
        this.#cluster.publishPoison(digest, record),
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

  /** Whether the node was neither killed nor stopped. */
  get running(): boolean {
    return !this.killed && !this.stopped;
  }

  #createNode(): Node {
    const simulation = this.#simulation;
    const { clock, gate, region } = this;
    const linkOptions = {
      clock: simulation.clock,
      gate,
      isKilled: () => !this.running,
    };
    const permits = this.#permits;
    return Node.create({
      nodeId: this.id,
      region,
      dataCentre: brandString(`${region}-1`),
      clock,
      random: simulation.random,
      journal: silentJournal,
      meter: silentMeter,
      table: this.#table,
      forwarder: this.#createForwarder(),
      cluster: this.#cluster,
      configuration: {
        current: () => simulatedCatalog,
        resolveModel,
      },
      permits,
      poison: this.poison,
      engines: simulation
        .enginesOf(region)
        .map(({ engine, limits, model }) => ({
          engine,
          limits,
          link: new SimulatedEngineLink(model, {
            ...linkOptions,
            isCut: () => simulation.isCut(this, engine),
            mayHoldOrders: limits.fencing === "checked",
            onNewWork: () => simulation.checkNewWork(engine, this),
          }),
        })),
      services: new Map([
        [
          simulation.service,
          [...simulation.servers].map(([id, server]) => ({
            id,
            leaving: false,
            link: server.createLink({
              gate,
              isCut: () => !this.running || simulation.isCut(this, id),
              onNewWork: () => simulation.checkNewWork(id, this),
              onPausedWork: () => simulation.recordPausedWork(id),
              onLeavingSaid: () => simulation.recordLeaving(id, this),
            }),
          })),
        ],
      ]),
      lookups: new Map([
        [simulation.service, [{ method: "GET", path: "/stock" }]],
      ]),
      session: defaultSessionSettings,
      onSessionRemoved: (lease) =>
        permits.send({ type: "lease-removed", lease }),
      onStopped: () => {
        this.stopped = true;
        this.#stopPeriodicTasks();
        this.downSince = simulation.clock.now();
        simulation.handleNodeStopped(this);
      },
    });
  }

  /** Creates the node's load budget and the reconciler of its permits. */
  #createPermits(): LoadBudget {
    const simulation = this.#simulation;
    const shared = { clock: this.clock, table: this.#table };
    const permits = LoadBudget.create({
      ...shared,
      policies: { limits: defaultLoadLimits, random: simulation.random },
      onGrant: (engine) => this.node.grantPermit(engine),
      journal: silentJournal,
      meter: silentMeter,
    });
    this.#reconciler = PermitReconciler.create({
      ...shared,
      isResponsible: () => simulation.findResponsiveNode() === this,
      onOrphan: (lease) => permits.send({ type: "lease-removed", lease }),
    });
    return permits;
  }

  /** Ends the node without a drain, as when its process is killed. */
  stop(): void {
    this.#stopPeriodicTasks();
    this.node.stop();
  }

  #stopPeriodicTasks(): void {
    this.#reconciler?.stop();
    this.#stopReports();
  }

  /** Informs the node that a server is leaving. */
  receiveLeaving(server: string): void {
    this.gate.deliver(() => {
      if (this.running) this.node.markLeaving(server);
    });
  }

  #createForwarder(): PeerForwarder {
    const simulation = this.#simulation;
    return {
      forward: (address, request, sink) => {
        const target = simulation.nodes.find(({ id }) => id === address);
        const relay = new ForwardRelay(sink, {
          clock: simulation.clock,
          entryNode: this,
          ownerNode: target,
          isCut: () =>
            target === undefined || simulation.isCut(this, target.name),
        });
        simulation.clock.schedule(simulation.computeDelay(this, target), () => {
          if (!this.running || relay.ended) return;
          if (target === undefined || !target.running || relay.isCut()) {
            relay.refuseNotSent();
            return;
          }
          target.gate.deliver(() => {
            if (relay.ended || !target.running) return;
            relay.control = target.node.acceptForward(request, relay);
          });
        });
        return relay;
      },
    };
  }

  #createCluster(): ClusterPort {
    const simulation = this.#simulation;
    const broadcast = (deliver: (other: SimulatedNode) => void) => {
      for (const other of simulation.nodes) {
        if (other === this || !other.running) continue;
        simulation.clock.schedule(simulation.computeDelay(this, other), () => {
          if (!simulation.isCut(this, other.name)) {
            other.gate.deliver(() => {
              if (other.running) deliver(other);
            });
          }
        });
      }
    };
    return {
      members: () =>
        simulation.nodes.map((other) => this.#describeMember(other)),
      engineViews: () => this.#views.values(),
      publishEngines: (views) =>
        broadcast((other) => other.#receiveViews(views)),
      publishOutage: () => {},
      publishDemand: () => {},
      outageConfirmedAt: () => this.#findOutageConfirmation(),
      publishLeaving: (server) => simulation.recordLeaving(server, this),
      publishPoison: (digest, record) =>
        broadcast((other) => other.poison.receiveRecord(digest, record)),
      leave: async () => {},
    };
  }

  /** The current time if every other node of the region that may be running is reachable and without the table. */
  #findOutageConfirmation(): Millis | undefined {
    const simulation = this.#simulation;
    const others = simulation.nodes.filter(
      (other) =>
        other !== this && other.region === this.region && !other.stopped,
    );
    const confirmed = others.every(
      (other) =>
        simulation.unreachableSince(this, other) === undefined &&
        other.node.session.failing,
    );
    return confirmed ? simulation.clock.now() : undefined;
  }

  #describeMember(other: SimulatedNode): ClusterMember {
    const simulation = this.#simulation;
    const since = simulation.unreachableSince(this, other);
    const unreachableFor =
      since === undefined ? 0 : simulation.clock.now() - since;
    const state = other.stopped
      ? "left"
      : unreachableFor >= deadAfter
        ? "dead"
        : unreachableFor >= suspectAfter
          ? "suspect"
          : "alive";
    const { id, region } = other;
    const dataCentre = brandString<ClusterMember["dataCentre"]>(`${region}-1`);
    return { node: id, region, dataCentre, state, peers: id };
  }

  #receiveViews(views: readonly EngineView[]): void {
    const heardAt = this.#simulation.clock.now();
    for (const view of views)
      this.#views.set(view.engine, { ...view, heardAt });
  }
}
