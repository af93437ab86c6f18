import { type Cancel, type Millis, millis } from "../../core/clock.ts";
import type { DryRun, DryRunQuery } from "../../core/gateway/dry_run.ts";
import { findLatestStart } from "../../core/gateway/stopping.ts";
import type { MachineName, SoftwareVersion } from "../../core/ids.ts";
import type {
  CallerSink,
  EngineOrders,
  InstallationFeed,
  ProxiedRequest,
  ServerNotices,
} from "../../ports/gateway.ts";
import type {
  ModelRequest,
  ModelResult,
  NodeCallHandler,
  NodeChannel,
  NodeLinks,
} from "../../ports/nodes.ts";
import type { PermitAnswer, PermitRequest } from "../../ports/permits.ts";
import type { RelayLinks } from "../../ports/relays.ts";
import type { StreamQuery } from "../../ports/streams.ts";
import type { TableService } from "../../ports/table.ts";
import { type FollowTableRows, PoisonManager } from "../poison_manager.ts";
import { GatewayContext, type GatewayDependencies } from "./context.ts";
import { EngineControllers } from "./engines/engine_controllers.ts";
import { EngineUsageCounter } from "./engines/engine_usage.ts";
import { ModelRequester } from "./engines/model_requester.ts";
import { OwnerCalls } from "./engines/owner_calls.ts";
import { UsageReporter } from "./engines/usage_reporter.ts";
import { PauseWatch } from "./pause_watch.ts";
import { createMessageRouter } from "./peers/message_router.ts";
import { NoticeHandler } from "./peers/notice_handler.ts";
import { PeerContacts } from "./peers/peer_contacts.ts";
import {
  createPoisonBroadcast,
  type PoisonBroadcast,
} from "./peers/poison_broadcast.ts";
import { createPoisonPublisher } from "./peers/poison_publisher.ts";
import { RelayPeers } from "./peers/relay_peers.ts";
import { QuotaManager } from "./quotas/quota_manager.ts";
import { CrashCheck } from "./requests/crash_check.ts";
import { OpenRequests } from "./requests/open_requests.ts";
import { PoisonGuard } from "./requests/poison_guard.ts";
import { RequestDryRun } from "./requests/request_dry_run.ts";
import { planRequest } from "./requests/request_intake.ts";
import { LeaseManager } from "./rows/lease_manager.ts";
import type { ReadLeaseRows } from "./rows/lease_rows.ts";
import { IncarnationWatch } from "./servers/incarnation_watch.ts";
import { InstallationTracker } from "./servers/installation_tracker.ts";
import { OverloadTracker } from "./servers/overload_tracker.ts";
import { PaceExchange } from "./servers/pace_exchange.ts";
import { PaceTracker } from "./servers/pace_tracker.ts";
import { ServerPermits } from "./servers/server_permits.ts";
import { ServerSelector } from "./servers/server_selector.ts";
import { StreamKeeper } from "./streams/stream_keeper.ts";
import { StreamPeers } from "./streams/stream_peers.ts";

/** Interval of the checks for expired servers and pauses of the process, in ms. */
const checkInterval = millis(100);
/** Drift between the monotonic clock and the wall clock that indicates a pause, in ms. */
const pauseThreshold = 250;

/** Dependencies of a gateway and of its tasks. */
export type GatewayOptions = GatewayDependencies & {
  readonly table: TableService;
  /** Table of the streams that the nodes passed on. */
  readonly streamTable: TableService;
  readonly readLeaseRows: ReadLeaseRows;
  readonly feed: InstallationFeed;
  readonly orders: EngineOrders;
  readonly notices: ServerNotices;
  readonly nodeLinks: NodeLinks;
  readonly nodeChannel: NodeChannel;
  readonly relayLinks: RelayLinks;
  /** Delivers the rows of the table, in which other nodes record what crashes engines. */
  readonly followTableRows: FollowTableRows;
};

/** Handle by which a front end reports what happens on the connection of a caller. */
export type RequestHandle = {
  cancel(): void;
  /** The caller's connection takes bytes again after a write that it did not take at once. */
  resume(): void;
  /** The caller's connection does not take the bytes that wait for it; the response is broken off. */
  stall(detail: string): void;
};

/** Routes requests to the servers that the operator's configuration names. */
export class Gateway implements NodeCallHandler {
  readonly context: GatewayContext;
  readonly #options: GatewayOptions;
  readonly #leases: LeaseManager;
  readonly #engineControllers: EngineControllers;
  readonly #permits: ServerPermits;
  readonly #incarnations: IncarnationWatch;
  readonly #streams: StreamKeeper;
  readonly #selector: ServerSelector;
  readonly #dryRun: RequestDryRun;
  readonly #usage: EngineUsageCounter;
  readonly #usageReporter: UsageReporter;
  readonly #paces: PaceTracker;
  readonly #paceExchange: PaceExchange;
  readonly #overloads: OverloadTracker;
  readonly #poison: PoisonManager;
  readonly #guard: PoisonGuard;
  readonly #broadcast: PoisonBroadcast;
  readonly #requests: OpenRequests;
  readonly #installation: InstallationTracker;
  readonly #notices: NoticeHandler;
  readonly #relayPeers: RelayPeers;
  readonly #quotas: QuotaManager;
  #cancelChecks: Cancel = () => {};
  #clockOffset: number;
  readonly #pauses: PauseWatch;

  private constructor(options: GatewayOptions) {
    this.#options = options;
    const { clock } = options;
    this.context = GatewayContext.create(options);
    this.#requests = OpenRequests.create(options.meter);
    const now = () => clock.now();
    const contacts = PeerContacts.create(now);
    this.#usage = EngineUsageCounter.create(now);
    this.#leases = LeaseManager.create({
      context: this.context,
      table: options.table,
      readRows: options.readLeaseRows,
      contacts,
      onChange: () => this.#engineControllers.reconcile(),
      onNodeList: (read) => this.#quotas.recordRead(read),
    });
    const nodes = {
      machine: options.identity.machine,
      listMachines: () => this.#leases.listMachines(),
      findAddress: (machine: MachineName) => this.#leases.findAddress(machine),
    };
    this.#permits = ServerPermits.create({
      ...options,
      ...nodes,
      limits: this.context.availability.limits,
      contacts,
    });
    this.#quotas = QuotaManager.create({
      ...options,
      ...nodes,
      channel: options.nodeChannel,
      tolerance: options.quotaTolerance,
      findDataCentre: (machine) => this.#leases.findDataCentre(machine),
      findOrganisations: () => this.context.configuration?.organisations,
    });
    this.#relayPeers = RelayPeers.create({
      ...options,
      ...nodes,
      channel: options.nodeChannel,
      contacts,
      listAddresses: () => this.#leases.listOtherAddresses(),
    });
    this.context.reach.follow((isLost) => {
      this.#relayPeers.announce(isLost);
      if (isLost) this.#requests.leaveUnreached();
    });
    this.#incarnations = IncarnationWatch.create(this.context, {
      fetchStatus: (server) => options.orders.fetchStatus(server),
      takePermit: this.#permits.take,
    });
    const orders: EngineOrders = {
      order: (...order) => options.orders.order(...order),
      fetchStatus: this.#incarnations.fetchStatus,
    };
    this.#streams = StreamKeeper.create(this.context, {
      incarnations: this.#incarnations,
      viewTime: () => options.feed.viewTime(),
      table: options.streamTable,
      peers: StreamPeers.create({
        ...nodes,
        channel: options.nodeChannel,
        nodeLinks: options.nodeLinks,
      }),
    });
    this.#engineControllers = EngineControllers.create(this.context, {
      orders,
      leases: this.#leases,
      takePermit: this.#permits.take,
    });
    this.#broadcast = createPoisonBroadcast({
      clock,
      channel: options.nodeChannel,
      listAddresses: () => this.#leases.listOtherAddresses(),
    });
    this.#usageReporter = UsageReporter.create({
      context: this.context,
      leases: this.#leases,
      contacts,
      engineControllers: this.#engineControllers,
      usage: this.#usage,
      channel: options.nodeChannel,
    });
    this.#overloads = OverloadTracker.create({
      ...nodes,
      context: this.context,
      channel: options.nodeChannel,
      listAddresses: () => this.#leases.listOtherAddresses(),
    });
    this.#paceExchange = PaceExchange.create({
      context: this.context,
      channel: options.nodeChannel,
      findHolder: (engine) => this.#leases.findHolder(engine),
      findAddress: (machine) => this.#leases.findAddress(machine),
    });
    this.#paces = PaceTracker.create({
      context: this.context,
      onRatio: (engine, ratio) => this.#paceExchange.recordRatio(engine, ratio),
      reportCalls: (server) => this.#overloads.report(server),
      describeDelay: (engine, promptTokens) =>
        this.#usageReporter.describeDelay(engine, promptTokens),
    });
    this.#poison = this.#createPoisonManager();
    this.#guard = PoisonGuard.create({
      context: this.context,
      poison: this.#poison,
      crashes: CrashCheck.create(orders),
      broadcast: this.#broadcast,
    });
    const owners = OwnerCalls.create({
      context: this.context,
      leases: this.#leases,
      contacts,
      engineControllers: this.#engineControllers,
      nodeLinks: options.nodeLinks,
    });
    this.#selector = ServerSelector.create(this.context, {
      acquire: owners.acquire,
      estimateWait: (engine, promptTokens) =>
        this.#usageReporter.estimateWait(engine, promptTokens),
      estimateAnswer: (engine, promptTokens) =>
        this.#usageReporter.estimateAnswer(engine, promptTokens),
      recordBacklog: (engine, backlog) =>
        this.#usageReporter.recordBacklog(engine, backlog),
      isKnown: (engine) => owners.isKnown(engine),
      models: ModelRequester.create(this.context, owners.requestModel),
    });
    this.#dryRun = RequestDryRun.create({
      context: this.context,
      selector: this.#selector,
      expectWait: (server, work) =>
        this.#usageReporter.expectWait(server, work),
      describeCredit: (organisation, units) =>
        this.#quotas.describeCredit(organisation, units),
    });
    this.#installation = InstallationTracker.create({
      context: this.context,
      onConfiguration: () => this.#engineControllers.reconcile(),
      onServer: (server) => {
        this.#engineControllers.register(server);
        this.context.queues.notify(server.service);
      },
      onEntry: (server, maxAge) =>
        this.#incarnations.recordRegistration(server, maxAge),
      onServerGone: (id) => {
        this.#incarnations.forget(id);
        this.#usageReporter.forget(id);
        owners.forget(id);
        this.#overloads.forget(id);
        this.#engineControllers.reconcile();
      },
    });
    this.#notices = NoticeHandler.create({
      context: this.context,
      installation: this.#installation,
      channel: options.nodeChannel,
      listAddresses: () => this.#leases.listOtherAddresses(),
    });
    const route = createMessageRouter({
      usage: this.#usageReporter,
      paces: this.#paceExchange,
      queues: this.context.queues,
      notices: this.#notices,
      overloads: this.#overloads,
      quotas: this.#quotas,
      relays: this.#relayPeers,
      streams: this.#streams,
      guard: this.#guard,
    });
    options.nodeChannel.onMessage((message, address) => {
      contacts.recordContact(message.from);
      route(message, address);
    });
    this.#clockOffset = clock.wallNow() - clock.now();
    this.#pauses = PauseWatch.create(options);
  }

  static create(options: GatewayOptions): Gateway {
    const gateway = new Gateway(options);
    options.feed.follow((change) => gateway.#installation.apply(change));
    options.notices.follow((server, notice) =>
      gateway.#notices.receive(server, notice),
    );
    gateway.#runChecks();
    return gateway;
  }

  /** Whether the node should receive new callers. */
  get isReady(): boolean {
    return this.context.stop === undefined && this.#installation.isComplete;
  }

  /** Earliest time at which a signal that is handled now can have been sent. */
  get signalTime(): Millis {
    return this.#pauses.findEventTime();
  }

  /** Number of requests in progress. */
  get openRequests(): number {
    return this.#requests.size;
  }

  /** Serves one request; the sink may receive a refusal before this returns. */
  open(request: ProxiedRequest, sink: CallerSink): RequestHandle {
    const { context } = this;
    const plan = planRequest(context, request);
    if ("code" in plan) {
      sink.refuse(plan);
      return closedHandle;
    }
    return this.#requests.start({
      context,
      selector: this.#selector,
      takePermit: this.#permits.take,
      streams: this.#streams,
      incarnations: this.#incarnations,
      usage: this.#usage,
      paces: this.#paces,
      relays: { peers: this.#relayPeers, links: this.#options.relayLinks },
      guard: this.#guard,
      quotas: this.#quotas,
      request,
      plan,
      sink,
    });
  }

  /** Describes where a request would go now, without sending it. */
  dryRun(query: DryRunQuery): DryRun {
    return this.#dryRun.describe(query);
  }

  /** Handles a request of another node for an adapter on an engine that this node owns. */
  acquire(request: Parameters<NodeCallHandler["acquire"]>[0]) {
    return this.#engineControllers.acquire(request);
  }

  /** Handles a request of another node for a base model on an engine that this node owns. */
  requestModel(request: ModelRequest): Promise<ModelResult> {
    return this.#engineControllers.requestModel(request);
  }

  /** Handles a request of another node for the right to send to a server that has a limit. */
  requestPermit(request: PermitRequest): Promise<PermitAnswer> {
    return this.#permits.request(request);
  }

  /** Handles the question of another node which software version began a stream. */
  async findStream(query: StreamQuery): Promise<SoftwareVersion | undefined> {
    return this.#streams.find(query);
  }

  /** Reports the node as not ready; requests that can end before `exitAt` are still served. */
  startDraining(exitAt: Millis): void {
    const startedAt = this.context.now();
    this.context.stop = { startedAt, exitAt, findLatestStart };
    this.#options.journal.record("drainStarted", {
      open: this.#requests.size,
      timeLeft: Math.round(exitAt - startedAt),
    });
  }

  /** Resolves once no request is in progress. */
  whenIdle(): Promise<void> {
    return this.#requests.whenIdle();
  }

  /** Refuses every request that no server can have started. */
  refuseWaiting(): void {
    this.#requests.refuseWaiting();
  }

  /** Ends every request that is still in progress, shortly before the process exits. */
  endAll(): void {
    this.#requests.endAll();
  }

  /** Releases the leases and ends all tasks. */
  async stop(): Promise<void> {
    this.#cancelChecks();
    this.#usageReporter.stop();
    this.#overloads.stop();
    this.#quotas.stop();
    this.#engineControllers.stop();
    this.#poison.stop();
    this.#streams.stop();
    this.#options.feed.stop();
    await this.#leases.release();
    this.#options.nodeChannel.close();
  }

  #createPoisonManager(): PoisonManager {
    const { clock, table, random, journal, meter, identity } = this.#options;
    const publish = createPoisonPublisher({
      machine: identity.machine,
      listMachines: () => this.#leases.listMachines(),
      findAddress: (machine) => this.#leases.findAddress(machine),
      send: this.#broadcast,
    });
    return PoisonManager.create({
      clock,
      table,
      random,
      createToken: () => this.context.createAttemptToken(),
      journal,
      meter,
      publish,
      followRows: this.#options.followTableRows,
      onConviction: () => this.#requests.withdrawConvicted(),
    });
  }

  /**
   * Removes expired servers, and invalidates the leases after a pause of the
   * process, since another node may have claimed them in the meantime.
   */
  #runChecks(): void {
    const { clock, journal } = this.#options;
    // Scheduled first, so that a check that fails does not end the checks.
    this.#cancelChecks = clock.schedule(checkInterval, () => this.#runChecks());
    const clockOffset = clock.wallNow() - clock.now();
    if (Math.abs(clockOffset - this.#clockOffset) > pauseThreshold) {
      journal.record("processPaused", {
        gap: Math.round(clockOffset - this.#clockOffset),
      });
      this.#leases.invalidate();
      this.#permits.postpone();
    }
    this.#clockOffset = clockOffset;
    this.#pauses.recordCheck();
    this.context.reach.check();
    this.#installation.applyDue();
    this.context.availability.removeEnded();
    this.#paceExchange.removeEnded();
    this.#permits.removeGone((id) => this.context.directory.servers.has(id));
  }
}

const closedHandle: RequestHandle = {
  cancel() {},
  resume() {},
  stall() {},
};
