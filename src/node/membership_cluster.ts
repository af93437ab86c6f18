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

/** Fields of an engine view that its encoded form omits. */
export type ViewOrigin = Pick<EngineView, "engine" | "region" | "heardAt"> & {
  readonly owner: NodeId;
};

/** Options of the membership cluster. */
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
/** Minimum time between two publications of a continuing outage, in ms. */
const outageIntervalMillis = 1_000;
/** Demand rates are encoded as integers in thousandths of a request per second. */
const demandScale = 1_000;

/** Implements the cluster port on top of membership: engine views, outages, demand, leaving servers and poison records. */
export class MembershipCluster implements ClusterPort {
  readonly #options: MembershipClusterOptions;
  /** Local times at which outage reports of other nodes were last received. */
  readonly #outages = new Map<NodeId, Millis>();
  #outagePublishedAt: Millis | undefined;
  readonly #published = new Map<string, string>();
  /** Decoded views by engine, cached until the published value changes. */
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
      // A draining or unreachable node must not acquire engines.
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
      if (this.#outagePublishedAt !== undefined) {
        membership.publish("outage", selfKey, null);
      }
      this.#outagePublishedAt = undefined;
      return;
    }
    const due = (this.#outagePublishedAt ?? 0) + outageIntervalMillis;
    if (this.#outagePublishedAt !== undefined && now < due) return;
    this.#outagePublishedAt = now;
    membership.publish("outage", selfKey, Math.round(now));
  }

  outageConfirmedAt(): Millis | undefined {
    const { membership, clock, self } = this.#options;
    let confirmedAt = clock.now();
    for (const { node, dataCentre, state } of membership.members()) {
      if (node === self.node || dataCentre !== self.dataCentre) continue;
      if (state === "left") continue;
      const reportedAt = this.#outages.get(node);
      if (reportedAt === undefined) return undefined;
      confirmedAt = millis(Math.min(confirmedAt, reportedAt));
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
    if (topic === "demand") this.#receiveDemand(node, value);
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

  #receiveDemand(node: NodeId, value: JsonValue): void {
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
    const cached = this.#views.get(entry.key);
    if (cached?.value === entry.value && cached.view.owner === entry.node) {
      return cached.view;
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

/** Maps the hashes used in encoded engine views to adapter versions. */
export class AdapterIndex {
  readonly #hash: (key: string) => number;
  #byHash = new Map<number, AdapterKey>();

  static create(hash: (key: string) => number): AdapterIndex {
    return new AdapterIndex(hash);
  }

  private constructor(hash: (key: string) => number) {
    this.#hash = hash;
  }

  /** Rebuilds the index for a new configuration. */
  replace(keys: Iterable<AdapterKey>): void {
    this.#byHash = new Map(
      [...keys].map((key) => [this.#hash(key), key] as const),
    );
  }

  find(hash: number): AdapterKey | undefined {
    return this.#byHash.get(hash);
  }
}
