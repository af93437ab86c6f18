import { decodeView, encodeView } from "../adapters/gossip/view_codec.ts";
import { createToken, type Keyring } from "../adapters/keys/keyring.ts";
import type { Timeline } from "../adapters/observe/timeline.ts";
import { createConfigurationPeers } from "../adapters/peers/configuration_peers.ts";
import type { GuardedTable } from "../adapters/platform/guarded_table.ts";
import type { Settings } from "../adapters/settings/settings.ts";
import { sheetCodec } from "../adapters/settings/sheet.ts";
import { type Clock, millis } from "../core/clock.ts";
import type { Catalog } from "../core/config/catalog.ts";
import {
  type AttemptToken,
  brandString,
  type DataCentre,
  formatAdapterKey,
  type NodeId,
  type Region,
} from "../core/ids.ts";
import { defaultSessionSettings, type LiveNode } from "../core/lease/state.ts";
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
import { Configuration } from "./configuration.ts";
import { reportGauges } from "./gauge_report.ts";
import { reportLease } from "./lease_report.ts";
import { LoadBudget } from "./load_budget.ts";
import { Membership } from "./membership.ts";
import { AdapterIndex, MembershipCluster } from "./membership_cluster.ts";
import { Node } from "./node.ts";
import { OperatorDesk } from "./operator_desk.ts";
import { PermitReconciler } from "./permit_reconciler.ts";
import { PlacementDesk } from "./placement_desk.ts";
import { PoisonDesk } from "./poison_desk.ts";

/** What a node is wired from. */
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
  readonly onStopped: () => void;
};

/** The parts of a node that listeners talk to. */
export type NodeParts = {
  readonly node: Node;
  readonly operators: OperatorDesk;
  stop(): void;
};

/** Creates the actors of a node and connects them. */
export function wireNode(options: WiringOptions): NodeParts {
  const { settings, nodeId, clock, keyring, timeline, meter } = options;
  const region = brandString<Region>(settings.node.region);
  const dataCentre = brandString<DataCentre>(settings.node.dataCentre);
  const shared = {
    clock,
    meter,
    journal: timeline,
    random: Math.random,
    nodeId,
    region,
    dataCentre,
  };
  const index = AdapterIndex.create(hashText);
  const membership = Membership.create({
    ...shared,
    datagrams: options.datagrams,
    self: describeSelf(options, { region, dataCentre }),
    seeds: settings.seeds,
    settings: defaultMembershipSettings,
  });
  const cluster = MembershipCluster.create({
    membership,
    clock,
    self: { node: nodeId, dataCentre },
    hashAdapter: hashText,
    findAdapter: (hash) => index.find(hash),
    encodeView,
    decodeView: (value, origin) =>
      decodeView(value, {
        ...origin,
        owner: origin.owner as NodeId,
        findAdapter: (hash) => index.find(hash),
      }),
    onLeaving: (server) => node.markLeaving(server),
    onPoison: (digest, record) => poison.hear(digest, record),
    onDemand: (from, rates) => placement.hearDemand(from, rates),
    onRevision: (revision, from) =>
      configuration.hear(revision as never, brandString(from)),
  });
  const configuration = Configuration.create({
    ...shared,
    table: options.table,
    objects: options.objects,
    codec: sheetCodec,
    peers: createConfigurationPeers({
      clock,
      keyring,
      findAddress: (peer) => membership.findAddress(peer),
    }),
    liveNodes: () => membership.liveNodes(),
    onRevision: (revision) => {
      membership.publish("revision", "self", revision);
      const catalog = configuration.current();
      if (catalog === undefined) return;
      index.replace(listKeys(catalog));
      placement.useCatalog(catalog);
      node.markConfigured();
    },
  });
  const poison = PoisonDesk.create({
    ...shared,
    table: options.table,
    createToken: () => brandString<AttemptToken>(createToken()),
    spread: (digest, record) => cluster.publishPoison(digest, record),
  });
  const permits = LoadBudget.create({
    ...shared,
    table: options.table,
    policies: { limits: defaultLoadLimits, random: Math.random },
    onGrant: (engine) => node.grantPermit(engine),
  });
  const node: Node = Node.create({
    ...shared,
    table: options.table.urgent,
    forwarder: options.forwarder,
    cluster,
    configuration,
    permits,
    poison,
    engines: options.backEnds.engines,
    services: options.backEnds.services,
    lookups: options.backEnds.lookups,
    session: {
      ...defaultSessionSettings,
      duration: millis(settings.lease.durationMs),
      renewal: millis(settings.lease.renewMs),
      margin: millis(settings.lease.marginMs),
    },
    onSessionRemoved: (lease) => permits.send({ type: "lease-removed", lease }),
    onDemand: (adapter) => placement.noteDemand(adapter),
    onStopped: options.onStopped,
  });
  const placement = PlacementDesk.create({
    ...shared,
    directory: node.directory,
    cluster,
    readHour: () => readLocalHour(clock),
  });
  const stopReports = reportLease(node, {
    permits,
    clock,
    views: () => cluster.engineViews(),
  });
  const reconciler = PermitReconciler.create({
    ...shared,
    table: options.table,
    isResponsible: () => isFirstNode(membership.liveNodes(), nodeId),
    onOrphan: (lease) => permits.send({ type: "lease-removed", lease }),
  });
  const isTableDown = () => options.table.outage || node.session.failing;
  const stopGauges = reportGauges(node, { cluster, clock, meter, isTableDown });
  const operators = OperatorDesk.create({
    ...shared,
    node,
    cluster,
    sheets: configuration,
    readTimeline: () => timeline.read(),
    wallNow: () => clock.wallNow(),
    isTableDown,
  });
  return {
    node,
    operators,
    stop() {
      stopReports();
      stopGauges();
      reconciler.stop();
      placement.stop();
      configuration.stop();
      node.stop();
      membership.stop();
    },
  };
}

function describeSelf(
  options: WiringOptions,
  place: { region: Region; dataCentre: DataCentre },
): MemberInfo {
  const { callers, peers } = options.settings.listen;
  return {
    ...place,
    node: options.nodeId,
    callers: `${callers.host}:${callers.port}`,
    peers: `${peers.host}:${peers.port}`,
  };
}

function* listKeys(catalog: Catalog) {
  for (const { name, versions } of catalog.adapters.values()) {
    for (const version of versions) yield formatAdapterKey(name, version);
  }
}

function readLocalHour(clock: Clock): number {
  const date = new Date(clock.wallNow());
  return date.getHours() + date.getMinutes() / 60;
}

/** Whether this node comes first among the live ones, which gives it the duties of one node. */
function isFirstNode(live: readonly LiveNode[], nodeId: NodeId): boolean {
  return live.every(({ node }) => node >= nodeId);
}
