import { type Clock, type Millis, millis } from "../core/clock.ts";
import {
  type AdapterKey,
  brandString,
  type DataCentre,
  type Digest,
  type NodeId,
  type Region,
} from "../core/ids.ts";
import type { JsonValue, MembershipUpdate } from "../core/membership/types.ts";
import { type PoisonRecord, parsePoisonRecord } from "../core/poison/record.ts";
import type { EngineView } from "../core/routing/view.ts";
import type { ClusterMember, ClusterPort } from "../ports/cluster.ts";
import type { Membership, PublishedValue } from "./membership.ts";

/** Context of a published view that its compact form leaves out. */
export type ViewOrigin = Pick<EngineView, "engine" | "region" | "heardAt"> & {
  readonly owner: NodeId;
};

/** What the cluster part needs. */
export type MembershipClusterOptions = {
  readonly membership: Membership;
  readonly clock: Clock;
  readonly self: { readonly node: NodeId; readonly dataCentre: DataCentre };
  readonly hashAdapter: (key: AdapterKey) => number;
  readonly findAdapter: (hash: number) => AdapterKey | undefined;
  readonly onDemand: (
    node: NodeId,
    rates: readonly (readonly [AdapterKey, number])[],
  ) => void;
  readonly encodeView: (view: EngineView) => JsonValue;
  readonly decodeView: (
    value: JsonValue,
    origin: ViewOrigin,
  ) => EngineView | undefined;
  readonly onLeaving: (server: string) => void;
  readonly onPoison: (digest: Digest, record: PoisonRecord) => void;
  readonly onRevision: (revision: number, from: string) => void;
};

const selfKey = "self";
/** Time between two reports of an outage, in ms. */
const outageIntervalMillis = 1_000;
/** Rates travel as whole thousandths of a request a second. */
const demandScale = 1_000;

/** Cluster port on top of membership: engine views, leaving servers and suspicions. */
export class MembershipCluster implements ClusterPort {
  readonly #options: MembershipClusterOptions;
  /** Local times at which other nodes last reported an outage of the table. */
  readonly #outages = new Map<NodeId, Millis>();
  #outageAt: Millis | undefined;
  readonly #published = new Map<string, string>();
  /** Decoded views by engine; kept until the published value changes. */
  readonly #views = new Map<string, { value: JsonValue; view: EngineView }>();

  static create(options: MembershipClusterOptions): MembershipCluster {
    return new MembershipCluster(options);
  }

  private constructor(options: MembershipClusterOptions) {
    this.#options = options;
    options.membership.onUpdate((update) => this.#handleUpdate(update));
  }

  members(): readonly ClusterMember[] {
    return this.#options.membership.members().map((member) => ({
      ...member,
      // A node that drains or cannot be reached owns nothing new.
      state:
        member.state === "alive" && (member.draining || !member.reachable)
          ? "suspect"
          : member.state,
    }));
  }

  engineViews(): readonly EngineView[] {
    const { membership } = this.#options;
    const regions = new Map(
      membership.members().map(({ node, region }) => [node, region]),
    );
    return membership.values("engine").flatMap((entry) => {
      const region = regions.get(entry.node);
      const view = region && this.#decode(entry, region);
      return view === undefined ? [] : [view];
    });
  }

  publishEngines(views: readonly EngineView[]): void {
    const { membership, encodeView } = this.#options;
    const present = new Set<string>(views.map((view) => view.engine));
    for (const engine of this.#published.keys()) {
      if (present.has(engine)) continue;
      this.#published.delete(engine);
      membership.publish("engine", engine, null);
    }
    for (const view of views) {
      const value = encodeView(view);
      const text = JSON.stringify(value);
      if (this.#published.get(view.engine) === text) continue;
      this.#published.set(view.engine, text);
      membership.publish("engine", view.engine, value);
    }
  }

  publishOutage(outage: boolean): void {
    const { clock, membership } = this.#options;
    const now = clock.now();
    if (!outage) {
      if (this.#outageAt !== undefined) {
        membership.publish("outage", selfKey, null);
      }
      this.#outageAt = undefined;
      return;
    }
    const due = (this.#outageAt ?? 0) + outageIntervalMillis;
    if (this.#outageAt !== undefined && now < due) return;
    this.#outageAt = now;
    membership.publish("outage", selfKey, Math.round(now));
  }

  outageConfirmedAt(): Millis | undefined {
    const { membership, clock, self } = this.#options;
    let confirmedAt = clock.now();
    for (const { node, dataCentre, state } of membership.members()) {
      if (node === self.node || dataCentre !== self.dataCentre) continue;
      if (state === "left") continue;
      const heardAt = this.#outages.get(node);
      if (heardAt === undefined) return undefined;
      confirmedAt = millis(Math.min(confirmedAt, heardAt));
    }
    return confirmedAt;
  }

  publishDemand(rates: readonly (readonly [AdapterKey, number])[]): void {
    const { membership, hashAdapter } = this.#options;
    const value = rates.map(([adapter, rate]) => [
      hashAdapter(adapter),
      Math.round(rate * demandScale),
    ]);
    membership.publish("demand", selfKey, value);
  }

  publishLeaving(server: string): void {
    this.#options.membership.publish("leaving", server, true);
  }

  publishPoison(digest: Digest, record: PoisonRecord): void {
    const { crashes, cleared } = record;
    this.#options.membership.publish("poison", digest, [crashes, cleared]);
  }

  async leave(): Promise<void> {
    this.#options.membership.leave();
  }

  #handleUpdate(update: MembershipUpdate): void {
    if (update.type !== "entry") return;
    if (update.topic === "outage" && update.value === null) {
      this.#outages.delete(update.node);
    }
    if (update.value === null) return;
    const { topic, key, value, node } = update;
    const { clock } = this.#options;
    if (topic === "outage") this.#outages.set(node, clock.now());
    if (topic === "demand") this.#hearDemand(node, value);
    if (topic === "leaving") this.#options.onLeaving(key);
    if (topic === "revision" && typeof value === "number") {
      this.#options.onRevision(value, node);
    }
    if (topic === "poison" && Array.isArray(value)) {
      const [crashes, cleared] = value;
      parsePoisonRecord({ crashes, cleared }).ifRight((record) =>
        this.#options.onPoison(brandString(key), record),
      );
    }
  }

  #hearDemand(node: NodeId, value: JsonValue): void {
    const { findAdapter, onDemand } = this.#options;
    if (!Array.isArray(value)) return;
    const rates = value.flatMap((pair): [AdapterKey, number][] => {
      const [hash, rate] = Array.isArray(pair) ? pair : [];
      const adapter = typeof hash === "number" ? findAdapter(hash) : undefined;
      return adapter !== undefined && typeof rate === "number"
        ? [[adapter, rate / demandScale]]
        : [];
    });
    onDemand(node, rates);
  }

  #decode(entry: PublishedValue, region: Region): EngineView | undefined {
    const known = this.#views.get(entry.key);
    if (known?.value === entry.value && known.view.owner === entry.node) {
      return known.view;
    }
    const { clock, decodeView } = this.#options;
    const view = decodeView(entry.value, {
      engine: brandString(entry.key),
      owner: entry.node,
      region,
      heardAt: clock.now(),
    });
    if (view === undefined) return undefined;
    this.#views.set(entry.key, { value: entry.value, view });
    return view;
  }
}

/** Adapter versions by the hash that stands for them in compact views. */
export class AdapterIndex {
  readonly #hash: (key: string) => number;
  #byHash = new Map<number, AdapterKey>();

  static create(hash: (key: string) => number): AdapterIndex {
    return new AdapterIndex(hash);
  }

  private constructor(hash: (key: string) => number) {
    this.#hash = hash;
  }

  /** Replaces the index when another configuration is in force. */
  replace(keys: Iterable<AdapterKey>): void {
    this.#byHash = new Map(
      [...keys].map((key) => [this.#hash(key), key] as const),
    );
  }

  find(hash: number): AdapterKey | undefined {
    return this.#byHash.get(hash);
  }
}
