import type { Either } from "purify-ts";
import { Left } from "purify-ts";
import { type Actor, createActor } from "xstate";
import { type Cancel, type Clock, type Millis, millis } from "../core/clock.ts";
import type { Catalog, ModelResolution } from "../core/config/catalog.ts";
import { defaultEnginePolicies } from "../core/engine/mod.ts";
import {
  type AdapterKey,
  brandString,
  type DataCentre,
  type Digest,
  type EngineId,
  formatAdapterKey,
  type LeaseId,
  type NodeId,
  type Region,
  type ServiceName,
} from "../core/ids.ts";
import type { SessionSettings } from "../core/lease/state.ts";
import { type Refusal, refuse } from "../core/results/refusal.ts";
import { chooseEngine } from "../core/routing/route.ts";
import type { AnswerSink, Submission } from "../ports/access.ts";
import type { ClusterPort } from "../ports/cluster.ts";
import { endedStream, type StreamControl } from "../ports/engine.ts";
import type {
  BookingAnswer,
  DraftControl,
  DraftInput,
  FrontEndPort,
  ServiceInput,
} from "../ports/front_end.ts";
import type { Journal, Meter } from "../ports/journal.ts";
import type { ForwardTarget, PeerForwarder } from "../ports/peers.ts";
import type { TableService } from "../ports/table.ts";
import { DraftManager, type Suspicion } from "./draft_manager.ts";
import { Drain } from "./drain.ts";
import { EngineDirectory } from "./engine_directory.ts";
import type { PermitSource } from "./engine_owner.ts";
import { EngineOwners, type LocalEngine } from "./engine_owners.ts";
import { PauseWatch, type ReadProcessorTime } from "./gateway/pause_watch.ts";
import { createLifecycleMachine } from "./lifecycle.ts";
import { RoutingManager } from "./routing_manager.ts";
import {
  type LookupRoute,
  ServiceCallManager,
  type ServiceServer,
} from "./service_call_manager.ts";
import { Session } from "./session.ts";
import type { SuspectListener } from "./suspect_listener.ts";

/** Interval at which the views of owned engines are published, in ms. */
const publishIntervalMillis = 200;

/** Read access to the configuration in force. */
export type ConfigurationReader = {
  current(): Catalog | undefined;
  resolveModel(model: string): ModelResolution;
};

/** Tracks content that may crash engines. */
export type PoisonDetector = SuspectListener & {
  findSuspicion(digest: Digest): Suspicion;
  stop(): void;
};

/** Provides load permits to this node; permits are granted through `Node.grantPermit`. */
export type PermitProvider = PermitSource & { stop(): void };

/** Options of a node. */
export type NodeOptions = {
  readonly nodeId: NodeId;
  readonly region: Region;
  readonly dataCentre: DataCentre;
  readonly clock: Clock;
  readonly random: () => number;
  readonly journal: Journal;
  readonly meter: Meter;
  readonly table: TableService;
  /** Access to the table for the session lease; defaults to `table`. */
  readonly leaseTable?: TableService;
  readonly forwarder: PeerForwarder;
  readonly cluster: ClusterPort;
  readonly configuration: ConfigurationReader;
  readonly permits: PermitProvider;
  readonly poison: PoisonDetector;
  /** Engines of the node's own data centre. */
  readonly engines: readonly LocalEngine[];
  readonly services: ReadonlyMap<ServiceName, readonly ServiceServer[]>;
  readonly lookups: ReadonlyMap<ServiceName, readonly LookupRoute[]>;
  readonly session: SessionSettings;
  readonly onDemand?: (adapter: AdapterKey) => void;
  /** Called for each session of another node that this node has removed. */
  readonly onSessionRemoved?: (lease: LeaseId) => void;
  readonly readProcessorTime?: ReadProcessorTime;
  /** Time from the request for a drain in which the node ends; unlimited by default. */
  readonly stopTimeout?: Millis;
  /** Called once when a drain starts, with the time at which it was requested. */
  readonly onDrain?: (requestedAt: Millis) => void;
  /** Called once when a drain has finished. */
  readonly onStopped: () => void;
};

/** A node: creates its actors, connects them and controls its lifecycle. */
export class Node implements FrontEndPort, ForwardTarget {
  readonly directory: EngineDirectory;
  readonly owners: EngineOwners;
  readonly drafts: DraftManager;
  readonly services: ServiceCallManager;
  readonly session: Session;
  readonly #options: NodeOptions;
  readonly #drain: Drain;
  readonly #pauses: PauseWatch;
  readonly #lifecycle: Actor<ReturnType<typeof createLifecycleMachine>>;
  readonly #leavingServers = new Set<string>();
  #cancelPublish: Cancel | undefined;
  #stopped = false;

  static create(options: NodeOptions): Node {
    return new Node(options);
  }

  private constructor(options: NodeOptions) {
    this.#options = options;
    const { cluster, nodeId } = options;
    this.directory = EngineDirectory.create({
      ...options,
      remoteViews: () => cluster.engineViews(),
      findAddress: (node) =>
        cluster.members().find((member) => member.node === node)?.peers,
    });
    this.owners = EngineOwners.create({
      ...options,
      directory: this.directory,
      policies: defaultEnginePolicies,
      suspects: options.poison,
    });
    this.session = this.#createSession();
    this.drafts = DraftManager.create({
      ...options,
      directory: this.directory,
      routes: RoutingManager.create({
        ...options,
        chooseEngine,
        views: () => this.directory.views(),
      }),
      resolveModel: (model) => options.configuration.resolveModel(model),
      findSuspicion: (digest) => options.poison.findSuspicion(digest),
      onDemand: options.onDemand ?? (() => {}),
    });
    this.services = ServiceCallManager.create({
      ...options,
      listServers: (service) => this.#listServers(service),
      lookups: options.lookups,
      sweepServices: [...options.services.keys()],
      currentLease: () =>
        this.session.isUsable() ? this.session.lease() : undefined,
      onLeaving: (_, server) => this.markLeaving(server),
      exitAt: () => this.#drain.giveUpAt,
    });
    this.#pauses = PauseWatch.create(options);
    this.#drain = Drain.create({
      ...options,
      drafts: this.drafts,
      services: this.services,
      directory: this.directory,
      owners: this.owners,
      session: this.session,
    });
    this.#lifecycle = createActor(
      createLifecycleMachine({
        onReady: () => options.journal.record("nodeReady", { node: nodeId }),
        onDrain: () => void this.#drainWork(),
        onStopped: () => this.#finishStop(),
      }),
    );
    this.#lifecycle.start();
    this.#publish();
  }

  /** Current phase of the lifecycle. */
  get phase(): string {
    return String(this.#lifecycle.getSnapshot().value);
  }

  /** Number of requests and booking calls in progress for callers of this node. */
  get inFlight(): number {
    return this.drafts.open + this.services.outstanding;
  }

  openDraft(input: DraftInput, sink: AnswerSink): DraftControl {
    const refusal = this.checkReadiness();
    if (refusal === undefined) return this.drafts.start(input, sink);
    sink.onRefusal(refusal);
    return endedStream;
  }

  callService(input: ServiceInput): Promise<Either<Refusal, BookingAnswer>> {
    const refusal = this.checkReadiness();
    if (refusal !== undefined) return Promise.resolve(Left(refusal));
    const deadline = millis(this.#options.clock.now() + input.deadline);
    return this.services.call({ ...input, deadline });
  }

  *listModels(): Iterable<AdapterKey> {
    const catalog = this.#options.configuration.current();
    for (const entry of catalog?.adapters.values() ?? []) {
      for (const version of entry.versions) {
        yield formatAdapterKey(entry.name, version);
      }
    }
  }

  checkReadiness(): Refusal | undefined {
    switch (this.phase) {
      case "ready":
        return undefined;
      case "starting":
        return refuse("notReady", "The node has no configuration yet");
      default:
        return refuse("draining", "The node is stopping");
    }
  }

  acceptForward(
    request: { engine: EngineId; submission: Submission },
    sink: AnswerSink,
  ): StreamControl {
    return this.directory.acceptForward(request, sink);
  }

  /** Makes the node ready once a configuration is in force. */
  markConfigured(): void {
    this.#lifecycle.send({ type: "configured" });
  }

  /** Passes a granted load permit on to the owner of the engine. */
  grantPermit(engine: EngineId): void {
    this.owners.handleGrant(engine);
  }

  /** Stops new work for a leaving backend server and publishes this to the other nodes. */
  markLeaving(server: string): void {
    if (this.#leavingServers.has(server)) return;
    this.#leavingServers.add(server);
    this.#options.journal.record("serverLeaving", { server });
    this.owners.markLeaving(brandString(server));
    this.#options.cluster.publishLeaving(server);
  }

  /** Starts a graceful stop; further calls have no effect. */
  drain(): void {
    this.#lifecycle.send({ type: "drain" });
  }

  /** Stops without draining, like a killed process. */
  stop(): void {
    this.#stopped = true;
    this.#cancelPublish?.();
    this.#drain.stop();
    this.session.stop();
    this.services.stop();
    this.#options.permits.stop();
    this.#options.poison.stop();
    for (const owner of this.directory.owners.values()) owner.stop();
  }

  #createSession(): Session {
    const { engines, cluster, session, table, leaseTable } = this.#options;
    return Session.create({
      ...this.#options,
      table: leaseTable ?? table,
      engines: () =>
        engines.map(({ engine, limits }) => ({
          engine,
          fencing: limits.fencing,
        })),
      settings: session,
      liveNodes: () =>
        cluster.members().filter((member) => member.state === "alive"),
      onRemoved: (lease) => this.#options.onSessionRemoved?.(lease),
      outageConfirmedAt: () => cluster.outageConfirmedAt(),
      onOwnership: (engine, event) =>
        this.owners.handleOwnership(engine, event),
    });
  }

  #listServers(service: ServiceName): readonly ServiceServer[] | undefined {
    return this.#options.services.get(service)?.map((server) => ({
      ...server,
      leaving: server.leaving || this.#leavingServers.has(server.id),
    }));
  }

  #publish(): void {
    if (this.#stopped) return;
    this.#pauses.recordCheck();
    const { clock, cluster } = this.#options;
    cluster.publishEngines(this.directory.ownViews());
    cluster.publishOutage(this.session.failing);
    this.#cancelPublish = clock.schedule(millis(publishIntervalMillis), () =>
      this.#publish(),
    );
  }

  async #drainWork(): Promise<void> {
    this.#options.journal.record("drainStarted");
    // A signal may have waited since the process last ran, while the time of its sender went on.
    const requestedAt = this.#pauses.findEventTime();
    this.#options.onDrain?.(requestedAt);
    await this.#drain.run(requestedAt);
    this.#lifecycle.send({ type: "idle" });
  }

  #finishStop(): void {
    this.#options.journal.record("drainFinished");
    this.stop();
    this.#options.onStopped();
  }
}
