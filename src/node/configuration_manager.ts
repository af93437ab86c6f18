import { type Either, Left, Right } from "purify-ts";
import { createActor } from "xstate";
import { type Cancel, millis } from "../core/clock.ts";
import type { Catalog, ModelResolution } from "../core/config/catalog.ts";
import {
  createFollowDecision,
  createFollowState,
  type FollowCommand,
  type FollowEvent,
  type FollowState,
} from "../core/config/follow_decision.ts";
import {
  type Configuration as Config,
  createEmptyConfiguration,
  type Head,
  maxDeltas,
  resolveModel,
} from "../core/config/revision.ts";
import type { DataCentre, NodeId, Revision } from "../core/ids.ts";
import { chooseByRendezvous } from "../core/lease/rendezvous.ts";
import type { LiveNode } from "../core/lease/state.ts";
import { type Refusal, refuse } from "../core/results/refusal.ts";
import type { Journal, Meter } from "../ports/journal.ts";
import type { AppliedSheet, RevisionRecord } from "../ports/operators.ts";
import type { ConfigurationPeers } from "../ports/sheets.ts";
import {
  fetchToHead,
  readHead,
  replay,
  type StoredHead,
  type StoreFailure,
  type StoreOptions,
} from "./configuration_store.ts";
import { createDecisionLogic, type DecisionActor } from "./decision_actor.ts";
import { applySheet, readHistory, type SheetChange } from "./sheet_applier.ts";
import { withTimeout } from "./timeout.ts";

/** Interval at which due reads of the head row are started, in ms. */
const tickPeriod = millis(100);
/** Timeout of one fetch from a peer, in ms. */
const peerTimeout = millis(3_000);
/** Maximum total size of the deltas retained for peers, in bytes. */
const maxRetainedBytes = 1 << 20;

/** Options of the configuration manager. */
export type ConfigurationManagerOptions = StoreOptions & {
  readonly peers: ConfigurationPeers;
  readonly nodeId: NodeId;
  readonly dataCentre: DataCentre;
  /** Nodes of all data centres that membership considers alive. */
  readonly liveNodes: () => readonly LiveNode[];
  readonly random: () => number;
  readonly journal: Journal;
  readonly meter: Meter;
  /** Called with every revision that comes into force on this node, so that it can be published to the other nodes. */
  readonly onRevision: (revision: Revision) => void;
};

/** Follows, applies and exports the configuration of this node; keeps it in memory only. */
export class ConfigurationManager {
  readonly #options: ConfigurationManagerOptions;
  readonly #actor: DecisionActor<FollowState, FollowEvent>;
  #config: Config | undefined;
  /** Deltas up to the revision in force, for peers that are behind. */
  #recentDeltas: { readonly revision: number; readonly bytes: Uint8Array }[] =
    [];
  #cancelTick: Cancel = () => {};
  /** Cached choice of the node that polls the head row, valid for this list of live nodes. */
  #poller:
    | { readonly live: readonly LiveNode[]; readonly node: NodeId | undefined }
    | undefined;

  /** Creates the manager and starts to follow the head row. */
  static create(options: ConfigurationManagerOptions): ConfigurationManager {
    const configuration = new ConfigurationManager(options);
    configuration.#actor.start();
    configuration.#tick();
    return configuration;
  }

  private constructor(options: ConfigurationManagerOptions) {
    this.#options = options;
    const { clock, random } = options;
    const logic = createDecisionLogic<FollowState, FollowEvent, FollowCommand>({
      initial: createFollowState(clock.now()),
      decide: createFollowDecision({ random }),
      perform: (command) => this.#perform(command),
      clock,
    });
    this.#actor = createActor(logic);
  }

  /** Catalog in force; undefined until the first configuration is fetched. */
  current(): Catalog | undefined {
    return this.#config;
  }

  /** Revision in force. */
  revision(): Revision | undefined {
    return this.#config?.revision;
  }

  resolveModel(model: string): ModelResolution {
    return resolveModel(this.#config, model);
  }

  /** `unconfirmed` while the revision in force came from a peer and has not been read from the table. */
  certainty(): "confirmed" | "unconfirmed" {
    const { confirmed, revision } = this.#actor.getSnapshot().context;
    return confirmed >= revision && revision > 0 ? "confirmed" : "unconfirmed";
  }

  /** Handles the announcement of a revision by another node. */
  receiveRevision(revision: Revision, node: NodeId): void {
    const nodes = this.#options.liveNodes().length;
    this.#actor.send({ type: "revision-advertised", revision, node, nodes });
  }

  /** Applies an operator's sheet; it is in force on this node when the promise resolves with success. */
  async apply(change: SheetChange): Promise<Either<Refusal, AppliedSheet>> {
    const current = this.#config;
    const result = await applySheet(change, { ...this.#options, current });
    return result.map((accepted) => {
      const { revision, digest, config } = accepted;
      if (config !== undefined) {
        this.#activate(config, accepted.objects);
        const confirmed = config.revision;
        this.#actor.send({ type: "followed", revision: confirmed });
      }
      this.#options.journal.record("sheetApplied", {
        revision,
        attempt: change.attempt,
      });
      return { revision, digest };
    });
  }

  /** Accepted revisions, newest first. */
  history(limit: number): Promise<Either<Refusal, readonly RevisionRecord[]>> {
    const newest = (this.#config?.revision ?? 0) as Revision;
    return readHistory(limit, { ...this.#options, newest });
  }

  /** Sheet in force, in the format that operators write. */
  show(): Either<Refusal, { revision: number; sheet: unknown }> {
    const config = this.#config;
    if (config === undefined) {
      return Left(refuse("notReady", "The node has no configuration yet"));
    }
    const adapters = [...config.adapters.values()];
    const sheet = this.#options.codec.format({ adapters });
    return Right({ revision: config.revision, sheet });
  }

  /** Objects that update a peer from revision `after` to the one in force on this node. */
  exportAfter(after: Revision): readonly Uint8Array[] {
    const config = this.#config;
    if (config === undefined || after >= config.revision) return [];
    const deltas = this.#recentDeltas.filter(
      ({ revision }) => revision > after,
    );
    if (deltas[0]?.revision === after + 1) {
      return deltas.map(({ bytes }) => bytes);
    }
    const sheet = { adapters: [...config.adapters.values()] };
    const { revision } = config;
    return [this.#options.codec.encode({ kind: "snapshot", revision, sheet })];
  }

  /** Stops following the head row. */
  stop(): void {
    this.#cancelTick();
    this.#actor.stop();
  }

  #tick(): void {
    this.#actor.send({ type: "tick", polls: this.#isPoller() });
    this.#cancelTick = this.#options.clock.schedule(tickPeriod, () =>
      this.#tick(),
    );
  }

  /** Whether this node reads the head row for its data centre. */
  #isPoller(): boolean {
    const { dataCentre, nodeId, liveNodes } = this.#options;
    const live = liveNodes();
    if (this.#poller?.live !== live) {
      const nodes = live
        .filter((peer) => peer.dataCentre === dataCentre)
        .map((peer) => peer.node);
      const node = chooseByRendezvous(`config/${dataCentre}`, nodes);
      this.#poller = { live, node };
    }
    const { node } = this.#poller;
    return node === undefined || node === nodeId;
  }

  #perform(command: FollowCommand): void {
    if (command.type === "follow-store") void this.#followStore();
    else void this.#fetchPeer(command.node);
  }

  async #followStore(): Promise<void> {
    this.#options.meter.count("config_head_reads_total");
    const read = await readHead(this.#options);
    if (read.isLeft())
      return this.#recordFailure(read.extract() as StoreFailure);
    const stored = read.extract() as StoredHead | undefined;
    if (stored === undefined) {
      this.#actor.send({ type: "followed", revision: 0 as Revision });
      return;
    }
    const { head } = stored;
    const current = this.#chooseBase(head);
    const fetched = await fetchToHead(current, head, this.#options);
    fetched.caseOf({
      Left: (failure) => this.#recordFailure(failure),
      Right: ({ config, objects }) => {
        this.#activate(config, objects);
        this.#actor.send({ type: "followed", revision: head.revision });
      },
    });
  }

  /**
   * Configuration to start the fetch from. A configuration received from a peer
   * whose digest differs from the one in the table is discarded.
   */
  #chooseBase(head: Head): Config {
    const config = this.#config ?? createEmptyConfiguration();
    const isContradicted =
      head.revision === config.revision && head.digest !== config.digest;
    if (!isContradicted) return config;
    const detail = `Revision ${head.revision} received from a peer has another digest than in the table`;
    this.#options.journal.record("revisionRejected", { detail });
    return createEmptyConfiguration();
  }

  #recordFailure(failure: StoreFailure): void {
    const { meter, journal } = this.#options;
    meter.count("config_fetch_failures_total", { kind: failure.kind });
    if (failure.kind === "digest") {
      journal.record("revisionRejected", { detail: failure.detail });
    }
    this.#actor.send({ type: "store-failed" });
  }

  async #fetchPeer(node: NodeId): Promise<void> {
    const current = this.#config ?? createEmptyConfiguration();
    const answer = await withTimeout(
      this.#options.clock,
      this.#options.peers.fetch(node, current.revision),
      {
        timeout: peerTimeout,
        fallback: Left({
          detail: `The peer did not answer in time (${peerTimeout} ms)`,
        }),
      },
    );
    const objects = answer.orDefault([]);
    const config = replay(current, objects, this.#options.codec);
    if (config === undefined || objects.length === 0) {
      this.#options.meter.count("config_fetch_failures_total", {
        kind: "peer",
      });
      this.#actor.send({ type: "peer-failed" });
      return;
    }
    this.#activate(config, objects);
    this.#actor.send({ type: "peer-answered" });
  }

  /** Puts a configuration in force; ignores revisions that are not newer unless they correct the digest. */
  #activate(config: Config, objects: readonly Uint8Array[]): void {
    const previous = this.#config;
    const isCorrection =
      previous?.revision === config.revision &&
      previous.digest !== config.digest;
    if (config.revision <= (previous?.revision ?? 0) && !isCorrection) return;
    this.#retainDeltas(config, objects);
    this.#config = config;
    const { revision, digest, adapters } = config;
    this.#actor.send({ type: "in-force", revision });
    this.#options.meter.gauge("config_revision", revision);
    const fields = { revision, digest, adapters: adapters.size };
    this.#options.journal.record("revisionInForce", fields);
    this.#options.onRevision(revision);
  }

  /** Retains a contiguous sequence of deltas up to the revision in force. */
  #retainDeltas(config: Config, objects: readonly Uint8Array[]): void {
    const decoded = objects.map((bytes) => this.#options.codec.decode(bytes));
    // Snapshots are not retained, since `exportAfter` can encode them again.
    const start =
      decoded.findLastIndex((object) => object?.kind === "snapshot") + 1;
    const deltas = objects.slice(start);
    const first = config.revision - deltas.length + 1;
    if (this.#recentDeltas.at(-1)?.revision !== first - 1)
      this.#recentDeltas = [];
    deltas.forEach((bytes, index) => {
      this.#recentDeltas.push({ revision: first + index, bytes });
    });
    let total = this.#recentDeltas.reduce(
      (sum, { bytes }) => sum + bytes.length,
      0,
    );
    while (total > maxRetainedBytes || this.#recentDeltas.length > maxDeltas) {
      total -= this.#recentDeltas.shift()?.bytes.length ?? 0;
    }
  }
}
