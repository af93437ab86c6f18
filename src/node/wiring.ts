import { decodeView, encodeView } from "../adapters/gossip/view_codec.ts";
import { createToken, type Keyring } from "../adapters/keys/keyring.ts";
import type { Timeline } from "../adapters/observe/timeline.ts";
import { createConfigurationPeers } from "../adapters/peers/configuration_peers.ts";
import type { GuardedTable } from "../adapters/platform/guarded_table.ts";
import type { Settings } from "../adapters/settings/settings.ts";
import { sheetCodec } from "../adapters/settings/sheet.ts";
import { type Clock, type Millis, millis } from "../core/clock.ts";
import { listAdapterKeys } from "../core/config/adapter_keys.ts";
import {
  type AttemptToken,
  brandNumber,
  brandString,
  type DataCentre,
  type LeaseId,
  type NodeId,
  type Region,
  type Revision,
} from "../core/ids.ts";
import { isFirstNode } from "../core/lease/first_node.ts";
import { defaultSessionSettings } from "../core/lease/state.ts";
import { defaultLoadLimits } from "../core/loads/limits.ts";
import { hashText } from "../core/membership/state.ts";
import {
  defaultMembershipSettings,
  type MemberInfo,
} from "../core/membership/types.ts";
import type { Datagrams } from "../ports/datagrams.ts";
import type { Meter } from "../ports/journal.ts";
import type { ObjectStore } from "../ports/objects.ts";
import type { PeerForwarder } from "../ports/peers.ts";
import type { BackEnds } from "./back_ends.ts";
import { ConfigurationManager } from "./configuration_manager.ts";
import type { ReadProcessorTime } from "./gateway/pause_watch.ts";
import { reportGauges } from "./gauge_report.ts";
import { reportLease } from "./lease_report.ts";
import { LoadBudget } from "./load_budget.ts";
import { Membership } from "./membership.ts";
import { AdapterIndex, MembershipCluster } from "./membership_cluster.ts";
import { Node } from "./node.ts";
import { OperatorHandler } from "./operator_handler.ts";
import { PermitReconciler } from "./permit_reconciler.ts";
import { PlacementManager } from "./placement_manager.ts";
import { PoisonManager } from "./poison_manager.ts";

/** Port implementations and settings from which a node is assembled. */
export type WiringOptions = {
  readonly settings: Settings;
  readonly nodeId: NodeId;
  readonly clock: Clock;
  readonly keyring: Keyring;
  readonly timeline: Timeline;
  readonly meter: Meter;
  readonly table: GuardedTable;
  readonly objects: ObjectStore;
  readonly backEnds: BackEnds;
  readonly forwarder: PeerForwarder;
  readonly datagrams: Datagrams;
  readonly readProcessorTime: ReadProcessorTime;
  readonly onDrain: (requestedAt: Millis) => void;
  readonly onStopped: () => void;
};

/** Components of a node that its listeners use. */
export type NodeComponents = {
  readonly node: Node;
  readonly operators: OperatorHandler;
  stop(): void;
};

/** Dependencies shared by all components of a node. */
type SharedDependencies = {
  readonly clock: Clock;
  readonly meter: Meter;
  readonly journal: Timeline;
  readonly random: () => number;
  readonly nodeId: NodeId;
  readonly region: Region;
  readonly dataCentre: DataCentre;
};

/** Creates the actors of a node and connects them. */
export function wireNode(options: WiringOptions): NodeComponents {
  return Wiring.create(options);
}

/** Actors of one node; they communicate through the functions passed to them. */
class Wiring implements NodeComponents {
  readonly node: Node;
  readonly operators: OperatorHandler;
  readonly #options: WiringOptions;
  readonly #shared: SharedDependencies;
  readonly #adapterIndex = AdapterIndex.create(hashText);
  readonly #membership: Membership;
  readonly #cluster: MembershipCluster;
  readonly #configuration: ConfigurationManager;
  readonly #poison: PoisonManager;
  readonly #permits: LoadBudget;
  readonly #placement: PlacementManager;
  readonly #stopFunctions: (() => void)[];

  static create(options: WiringOptions): Wiring {
    return new Wiring(options);
  }

  private constructor(options: WiringOptions) {
    const { settings, nodeId, clock, meter, timeline } = options;
    this.#options = options;
    this.#shared = {
      clock,
      meter,
      journal: timeline,
      random: Math.random,
      nodeId,
      region: brandString(settings.node.region),
      dataCentre: brandString(settings.node.dataCentre),
    };
    this.#membership = Membership.create({
      ...this.#shared,
      datagrams: options.datagrams,
      self: describeSelf(options, this.#shared),
      seeds: settings.seeds,
      settings: defaultMembershipSettings,
    });
    this.#cluster = this.#createCluster();
    this.#configuration = this.#createConfiguration();
    this.#poison = this.#createPoisonManager();
    this.#permits = this.#createLoadBudget();
    this.node = this.#createNode();
    this.#placement = this.#createPlacementManager();
    this.operators = this.#createOperatorHandler();
    this.#stopFunctions = this.#startPeriodicTasks();
  }

  stop(): void {
    for (const stop of this.#stopFunctions) stop();
    this.#placement.stop();
    this.#configuration.stop();
    this.node.stop();
    this.#membership.stop();
  }

  #createCluster(): MembershipCluster {
    const { clock, nodeId, dataCentre } = this.#shared;
    const findAdapter = (hash: number) => this.#adapterIndex.find(hash);
    return MembershipCluster.create({
      membership: this.#membership,
      clock,
      self: { node: nodeId, dataCentre },
      hashAdapter: hashText,
      findAdapter,
      encodeView,
      decodeView: (value, origin) =>
        decodeView(value, { ...origin, findAdapter }),
      onLeaving: (server) => this.node.markLeaving(server),
      onPoison: (digest, record) => this.#poison.receiveRecord(digest, record),
      onDemand: (from, rates) => this.#placement.receiveDemand(from, rates),
      onRevision: (revision, from) =>
        this.#configuration.receiveRevision(
          brandNumber(revision),
          brandString(from),
        ),
    });
  }

  #createConfiguration(): ConfigurationManager {
    const { clock, keyring, table, objects } = this.#options;
    const membership = this.#membership;
    return ConfigurationManager.create({
      ...this.#shared,
      table,
      objects,
      codec: sheetCodec,
      peers: createConfigurationPeers({
        clock,
        keyring,
        findAddress: (peer) => membership.findAddress(peer),
      }),
      liveNodes: () => membership.liveNodes(),
      onRevision: (revision) => this.#handleRevision(revision),
    });
  }

  #handleRevision(revision: Revision): void {
    this.#membership.publish("revision", "self", revision);
    const catalog = this.#configuration.current();
    if (catalog === undefined) return;
    this.#adapterIndex.replace(listAdapterKeys(catalog));
    this.#placement.setCatalog(catalog);
    this.node.markConfigured();
  }

  #createPoisonManager(): PoisonManager {
    return PoisonManager.create({
      ...this.#shared,
      table: this.#options.table,
      createToken: () => brandString<AttemptToken>(createToken()),
      publish: ({ digest, record }) =>
        this.#cluster.publishPoison(digest, record),
    });
  }

  #createLoadBudget(): LoadBudget {
    return LoadBudget.create({
      ...this.#shared,
      table: this.#options.table,
      policies: { limits: defaultLoadLimits, random: Math.random },
      onGrant: (engine) => this.node.grantPermit(engine),
    });
  }

  #createNode(): Node {
    const { settings, table, backEnds, forwarder } = this.#options;
    const { readProcessorTime, onDrain, onStopped } = this.#options;
    const { durationMs, renewMs, marginMs } = settings.lease;
    return Node.create({
      ...this.#shared,
      table,
      // Lease renewals and handovers bypass the write budget, so that they are not delayed.
      leaseTable: table.urgent,
      forwarder,
      cluster: this.#cluster,
      configuration: this.#configuration,
      permits: this.#permits,
      poison: this.#poison,
      engines: backEnds.engines,
      services: backEnds.services,
      lookups: backEnds.lookups,
      session: {
        ...defaultSessionSettings,
        duration: millis(durationMs),
        renewInterval: millis(renewMs),
        margin: millis(marginMs),
      },
      onSessionRemoved: (lease) => this.#reclaimPermits(lease),
      onDemand: (adapter) => this.#placement.recordDemand(adapter),
      readProcessorTime,
      stopTimeout: millis(settings.stop.timeoutMs),
      onDrain,
      onStopped,
    });
  }

  #createPlacementManager(): PlacementManager {
    return PlacementManager.create({
      ...this.#shared,
      directory: this.node.directory,
      cluster: this.#cluster,
      readHour: () => readLocalHour(this.#shared.clock),
    });
  }

  #createOperatorHandler(): OperatorHandler {
    const { timeline, clock } = this.#options;
    return OperatorHandler.create({
      ...this.#shared,
      node: this.node,
      cluster: this.#cluster,
      sheets: this.#configuration,
      readTimeline: () => timeline.read(),
      wallNow: () => clock.wallNow(),
      isTableDown: () => this.#isTableDown(),
    });
  }

  /** Starts the periodic tasks and returns the functions that stop them. */
  #startPeriodicTasks(): (() => void)[] {
    const { clock, meter, nodeId } = this.#shared;
    const cluster = this.#cluster;
    const reconciler = PermitReconciler.create({
      clock,
      table: this.#options.table,
      isResponsible: () => isFirstNode(this.#membership.liveNodes(), nodeId),
      onOrphan: (lease) => this.#reclaimPermits(lease),
    });
    return [
      () => reconciler.stop(),
      reportLease(this.node, {
        permits: this.#permits,
        clock,
        views: () => cluster.engineViews(),
      }),
      reportGauges(this.node, {
        cluster,
        clock,
        meter,
        isTableDown: () => this.#isTableDown(),
      }),
    ];
  }

  #reclaimPermits(lease: LeaseId): void {
    this.#permits.send({ type: "lease-removed", lease });
  }

  #isTableDown(): boolean {
    return this.#options.table.outage || this.node.session.failing;
  }
}

function describeSelf(
  options: WiringOptions,
  location: { region: Region; dataCentre: DataCentre },
): MemberInfo {
  const { callers, peers } = options.settings.listen;
  return {
    ...location,
    node: options.nodeId,
    callers: `${callers.host}:${callers.port}`,
    peers: `${peers.host}:${peers.port}`,
  };
}

function readLocalHour(clock: Clock): number {
  const date = new Date(clock.wallNow());
  return date.getHours() + date.getMinutes() / 60;
}
