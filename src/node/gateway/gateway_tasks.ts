import type {
  EngineOrders,
  InstallationFeed,
  ServerNotices,
} from "../../ports/gateway.ts";
import type { TableService } from "../../ports/table.ts";
import { type FollowTableRows, PoisonManager } from "../poison_manager.ts";
import { GatewayContext } from "./context.ts";
import { EngineControllers } from "./engines/engine_controllers.ts";
import { EngineUsageCounter } from "./engines/engine_usage.ts";
import { ModelRequester } from "./engines/model_requester.ts";
import { OwnerCalls } from "./engines/owner_calls.ts";
import { UsageReporter } from "./engines/usage_reporter.ts";
import { NodeTasks, type NodeTasksOptions } from "./node_tasks.ts";
import { createMessageRouter } from "./peers/message_router.ts";
import { NoticeHandler } from "./peers/notice_handler.ts";
import {
  createPoisonBroadcast,
  type PoisonBroadcast,
} from "./peers/poison_broadcast.ts";
import { createPoisonPublisher } from "./peers/poison_publisher.ts";
import { CrashCheck } from "./requests/crash_check.ts";
import { OpenRequests } from "./requests/open_requests.ts";
import { PoisonGuard } from "./requests/poison_guard.ts";
import { RequestDryRun } from "./requests/request_dry_run.ts";
import { IncarnationWatch } from "./servers/incarnation_watch.ts";
import { InstallationTracker } from "./servers/installation_tracker.ts";
import { OverloadTracker } from "./servers/overload_tracker.ts";
import { PaceExchange } from "./servers/pace_exchange.ts";
import { PaceTracker } from "./servers/pace_tracker.ts";
import { ServerSelector } from "./servers/server_selector.ts";
import { StreamKeeper } from "./streams/stream_keeper.ts";
import { StreamPeers } from "./streams/stream_peers.ts";

/** Dependencies of a gateway and of its tasks. */
export type GatewayOptions = NodeTasksOptions & {
  /** Table of the streams that the nodes passed on. */
  readonly streamTable: TableService;
  readonly feed: InstallationFeed;
  readonly orders: EngineOrders;
  readonly notices: ServerNotices;
  /** Delivers the rows of the table, in which other nodes record what crashes engines. */
  readonly followTableRows: FollowTableRows;
};

/** Tasks of a gateway; they reach each other through the functions passed to them. */
export class GatewayTasks {
  readonly context: GatewayContext;
  readonly requests: OpenRequests;
  readonly nodes: NodeTasks;
  readonly usage: EngineUsageCounter;
  readonly incarnations: IncarnationWatch;
  readonly streams: StreamKeeper;
  readonly engineControllers: EngineControllers;
  readonly usageReporter: UsageReporter;
  readonly overloads: OverloadTracker;
  readonly paceExchange: PaceExchange;
  readonly paces: PaceTracker;
  readonly poison: PoisonManager;
  readonly guard: PoisonGuard;
  readonly selector: ServerSelector;
  readonly dryRun: RequestDryRun;
  readonly installation: InstallationTracker;
  readonly notices: NoticeHandler;
  readonly #options: GatewayOptions;
  /** Orders and reports of engines, which the watch for restarts reads as well. */
  readonly #orders: EngineOrders;
  readonly #broadcast: PoisonBroadcast;
  readonly #owners: OwnerCalls;

  private constructor(options: GatewayOptions) {
    this.#options = options;
    this.context = GatewayContext.create(options);
    this.requests = OpenRequests.create(options.meter);
    this.nodes = NodeTasks.create(this.context, options, {
      onLeaseChange: () => this.engineControllers.reconcile(),
      onReachLost: () => this.requests.leaveUnreached(),
    });
    this.usage = EngineUsageCounter.create(() => options.clock.now());
    this.incarnations = this.#createIncarnations();
    this.#orders = {
      order: (...order) => options.orders.order(...order),
      fetchStatus: this.incarnations.fetchStatus,
    };
    this.streams = this.#createStreams();
    this.engineControllers = this.#createEngineControllers();
    this.#broadcast = this.#createBroadcast();
    this.usageReporter = this.#createUsageReporter();
    this.overloads = this.#createOverloads();
    this.paceExchange = this.#createPaceExchange();
    this.paces = this.#createPaces();
    this.poison = this.#createPoison();
    this.guard = this.#createGuard();
    this.#owners = this.#createOwners();
    this.selector = this.#createSelector();
    this.dryRun = this.#createDryRun();
    this.installation = this.#createInstallation();
    this.notices = this.#createNotices();
    this.#routeMessages();
  }

  static create(options: GatewayOptions): GatewayTasks {
    return new GatewayTasks(options);
  }

  /** Releases the leases and ends all tasks. */
  async stop(): Promise<void> {
    this.usageReporter.stop();
    this.overloads.stop();
    this.nodes.quotas.stop();
    this.engineControllers.stop();
    this.poison.stop();
    this.streams.stop();
    this.#options.feed.stop();
    await this.nodes.leases.release();
    this.#options.nodeChannel.close();
  }

  #createIncarnations(): IncarnationWatch {
    const { orders } = this.#options;
    return IncarnationWatch.create(this.context, {
      fetchStatus: (server) => orders.fetchStatus(server),
      takePermit: this.nodes.permits.take,
    });
  }

  #createStreams(): StreamKeeper {
    const { feed, streamTable, nodeChannel, nodeLinks } = this.#options;
    return StreamKeeper.create(this.context, {
      incarnations: this.incarnations,
      viewTime: () => feed.viewTime(),
      table: streamTable,
      peers: StreamPeers.create({
        ...this.nodes.known,
        channel: nodeChannel,
        nodeLinks,
      }),
    });
  }

  #createEngineControllers(): EngineControllers {
    return EngineControllers.create(this.context, {
      orders: this.#orders,
      leases: this.nodes.leases,
      takePermit: this.nodes.permits.take,
    });
  }

  #createBroadcast(): PoisonBroadcast {
    return createPoisonBroadcast({
      clock: this.#options.clock,
      channel: this.#options.nodeChannel,
      listAddresses: () => this.nodes.leases.listOtherAddresses(),
    });
  }

  #createUsageReporter(): UsageReporter {
    return UsageReporter.create({
      context: this.context,
      leases: this.nodes.leases,
      contacts: this.nodes.contacts,
      engineControllers: this.engineControllers,
      usage: this.usage,
      channel: this.#options.nodeChannel,
    });
  }

  #createOverloads(): OverloadTracker {
    return OverloadTracker.create({
      ...this.nodes.known,
      context: this.context,
      channel: this.#options.nodeChannel,
      listAddresses: () => this.nodes.leases.listOtherAddresses(),
    });
  }

  #createPaceExchange(): PaceExchange {
    return PaceExchange.create({
      context: this.context,
      channel: this.#options.nodeChannel,
      findHolder: (engine) => this.nodes.leases.findHolder(engine),
      findAddress: (machine) => this.nodes.leases.findAddress(machine),
    });
  }

  #createPaces(): PaceTracker {
    return PaceTracker.create({
      context: this.context,
      onRatio: (engine, ratio) => this.paceExchange.recordRatio(engine, ratio),
      reportCalls: (server) => this.overloads.report(server),
      describeDelay: (engine, promptTokens) =>
        this.usageReporter.describeDelay(engine, promptTokens),
    });
  }

  #createPoison(): PoisonManager {
    const { clock, table, random, journal, meter } = this.#options;
    return PoisonManager.create({
      clock,
      table,
      random,
      createToken: () => this.context.createAttemptToken(),
      journal,
      meter,
      publish: createPoisonPublisher({
        ...this.nodes.known,
        send: this.#broadcast,
      }),
      followRows: this.#options.followTableRows,
      onConviction: () => this.requests.withdrawConvicted(),
    });
  }

  #createGuard(): PoisonGuard {
    return PoisonGuard.create({
      context: this.context,
      poison: this.poison,
      crashes: CrashCheck.create(this.#orders),
      broadcast: this.#broadcast,
    });
  }

  #createOwners(): OwnerCalls {
    return OwnerCalls.create({
      context: this.context,
      leases: this.nodes.leases,
      contacts: this.nodes.contacts,
      engineControllers: this.engineControllers,
      nodeLinks: this.#options.nodeLinks,
    });
  }

  #createSelector(): ServerSelector {
    const owners = this.#owners;
    return ServerSelector.create(this.context, {
      acquire: owners.acquire,
      estimateWait: (engine, promptTokens) =>
        this.usageReporter.estimateWait(engine, promptTokens),
      estimateAnswer: (engine, promptTokens) =>
        this.usageReporter.estimateAnswer(engine, promptTokens),
      recordBacklog: (engine, backlog) =>
        this.usageReporter.recordBacklog(engine, backlog),
      isKnown: (engine) => owners.isKnown(engine),
      models: ModelRequester.create(this.context, owners.requestModel),
    });
  }

  #createDryRun(): RequestDryRun {
    return RequestDryRun.create({
      context: this.context,
      selector: this.selector,
      expectWait: (server, work) => this.usageReporter.expectWait(server, work),
      describeCredit: (organisation, units) =>
        this.nodes.quotas.describeCredit(organisation, units),
    });
  }

  #createInstallation(): InstallationTracker {
    return InstallationTracker.create({
      context: this.context,
      onConfiguration: () => this.engineControllers.reconcile(),
      onServer: (server) => {
        this.engineControllers.register(server);
        this.context.queues.notify(server.service);
      },
      onEntry: (server, maxAge) =>
        this.incarnations.recordRegistration(server, maxAge),
      onServerGone: (id) => {
        this.incarnations.forget(id);
        this.usageReporter.forget(id);
        this.#owners.forget(id);
        this.overloads.forget(id);
        this.engineControllers.reconcile();
      },
    });
  }

  #createNotices(): NoticeHandler {
    return NoticeHandler.create({
      context: this.context,
      installation: this.installation,
      channel: this.#options.nodeChannel,
      listAddresses: () => this.nodes.leases.listOtherAddresses(),
    });
  }

  #routeMessages(): void {
    const route = createMessageRouter({
      usage: this.usageReporter,
      paces: this.paceExchange,
      queues: this.context.queues,
      notices: this.notices,
      overloads: this.overloads,
      quotas: this.nodes.quotas,
      relays: this.nodes.relayPeers,
      streams: this.streams,
      guard: this.guard,
    });
    this.#options.nodeChannel.onMessage((message, address) => {
      this.nodes.contacts.recordContact(message.from);
      route(message, address);
    });
  }
}
