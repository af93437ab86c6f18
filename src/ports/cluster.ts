import type { Millis } from "../core/clock.ts";
import type {
  AdapterKey,
  DataCentre,
  Digest,
  NodeId,
  Region,
} from "../core/ids.ts";
import type { PoisonRecord } from "../core/poison/record.ts";
import type { EngineView } from "../core/routing/view.ts";

/** A node known to membership, possibly this one. */
export type ClusterMember = {
  readonly node: NodeId;
  readonly region: Region;
  readonly dataCentre: DataCentre;
  readonly state: "alive" | "suspect" | "dead" | "left";
  /** `IP:PORT` of the peer listener. */
  readonly peers: string;
};

/** Cluster state that a node shares with other nodes. */
export type ClusterPort = {
  /** Known nodes, including this one. */
  members(): readonly ClusterMember[];
  /** Engine views that the owners published last. */
  engineViews(): Iterable<EngineView>;
  /** Publishes the views of the engines that this node owns. */
  publishEngines(views: readonly EngineView[]): void;
  /** Publishes to the data centre whether this node is cut off from the table service. */
  publishOutage(outage: boolean): void;
  /** Time at which every other node of the data centre was last known to be cut off from the table, too. */
  outageConfirmedAt(): Millis | undefined;
  /** Publishes the request rates, per second, of the adapters in highest demand on this node. */
  publishDemand(rates: readonly (readonly [AdapterKey, number])[]): void;
  /** Publishes to all nodes that a backend server is leaving. */
  publishLeaving(server: string): void;
  /** Publishes to all nodes the recorded crashes of a content digest. */
  publishPoison(digest: Digest, record: PoisonRecord): void;
  /** Publishes that this node leaves the cluster permanently. */
  leave(): Promise<void>;
};
