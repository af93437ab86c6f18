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

/** Another node, or this one, as membership knows it. */
export type ClusterMember = {
  readonly node: NodeId;
  readonly region: Region;
  readonly dataCentre: DataCentre;
  readonly state: "alive" | "suspect" | "dead" | "left";
  /** `IP:PORT` of the peer listener. */
  readonly peers: string;
};

/** What the parts of a node tell other nodes and hear from them. */
export type ClusterPort = {
  /** Known nodes, this one included. */
  members(): readonly ClusterMember[];
  /** Views of engines as their owners last published them. */
  engineViews(): Iterable<EngineView>;
  /** Publishes the views of the engines that this node owns. */
  publishEngines(views: readonly EngineView[]): void;
  /** Tells the nodes of the data centre that the table does not answer this node, or that it does again. */
  publishOutage(outage: boolean): void;
  /** Time at which every other node of the data centre was last known to be without the table too. */
  outageConfirmedAt(): Millis | undefined;
  /** Publishes requests a second of the adapters most asked for here. */
  publishDemand(rates: readonly (readonly [AdapterKey, number])[]): void;
  /** Tells all nodes that a backend server is leaving. */
  publishLeaving(server: string): void;
  /** Tells all nodes which crashes are known of a content. */
  publishPoison(digest: Digest, record: PoisonRecord): void;
  /** Says that this node is leaving for good. */
  leave(): Promise<void>;
};
