import { type Cancel, millis } from "../../core/clock.ts";
import {
  forgetEngineAdapters,
  hasRecentReport,
  recordRegistration,
} from "../../core/gateway/adapter_directory.ts";
import { chooseTarget, findRoute } from "../../core/gateway/configuration.ts";
import { forgetServer } from "../../core/gateway/server_health.ts";
import {
  applyServerChange,
  type BackendServer,
  removeExpiredServers,
  type ServerChange,
} from "../../core/gateway/servers.ts";
import type { ServerId } from "../../core/ids.ts";
import { refuse } from "../../core/results/refusal.ts";
import type {
  AcquireResult,
  CallerSink,
  EngineOrders,
  InstallationChange,
  InstallationFeed,
  ModelRequest,
  ModelResult,
  NodeCallHandler,
  NodeLinks,
  ProxiedRequest,
  UsageChannel,
} from "../../ports/gateway.ts";
import type { TableService } from "../../ports/table.ts";
import { GatewayContext, type GatewayDependencies } from "./context.ts";
import { EngineControllers } from "./engine_controllers.ts";
import { LeaseManager } from "./lease_manager.ts";
import type { ReadLeaseRows } from "./lease_rows.ts";
import { ModelRequester, type RequestModel } from "./model_requester.ts";
import { RequestTask } from "./request_task.ts";
import { type AcquireAdapter, ServerSelector } from "./server_selector.ts";
import { UsageReporter } from "./usage_reporter.ts";

/** Interval of the checks for expired servers and pauses of the process, in ms. */
const checkInterval = millis(100);
/** Drift between the monotonic clock and the wall clock that indicates a pause, in ms. */
const pauseThreshold = 250;

/** Dependencies of a gateway and of its tasks. */
export type GatewayOptions = GatewayDependencies & {
  readonly table: TableService;
  readonly readLeaseRows: ReadLeaseRows;
  readonly feed: InstallationFeed;
  readonly orders: EngineOrders;
  readonly nodeLinks: NodeLinks;
  readonly usageChannel: UsageChannel;
};

/** Handle by which a front end cancels its request. */
export type RequestHandle = { cancel(): void };

/** Routes requests to the servers that the operator's configuration names. */
export class Gateway implements NodeCallHandler {
  readonly context: GatewayContext;
  readonly #options: GatewayOptions;
  readonly #leases: LeaseManager;
  readonly #engineControllers: EngineControllers;
  readonly #selector: ServerSelector;
  readonly #usageReporter: UsageReporter;
  readonly #requests = new Set<RequestTask>();
  readonly #completedTopics = new Set<string>();
  #onIdle: () => void = () => {};
  #cancelChecks: Cancel = () => {};
  #clockOffset: number;
  #draining = false;

  private constructor(options: GatewayOptions) {
    this.#options = options;
    const { clock } = options;
    this.context = GatewayContext.create(options);
    this.#leases = LeaseManager.create({
      context: this.context,
      table: options.table,
      readRows: options.readLeaseRows,
      onChange: () => this.#engineControllers.reconcile(),
    });
    this.#engineControllers = EngineControllers.create(this.context, {
      orders: options.orders,
      leases: this.#leases,
    });
    this.#usageReporter = UsageReporter.create({
      context: this.context,
      leases: this.#leases,
      engineControllers: this.#engineControllers,
      channel: options.usageChannel,
    });
    this.#selector = ServerSelector.create(this.context, {
      acquire: this.#acquire,
      estimateWait: (engine, promptTokens) =>
        this.#usageReporter.estimateWait(engine, promptTokens),
      recordBacklog: (engine, backlog) =>
        this.#usageReporter.recordBacklog(engine, backlog),
      isKnown: (engine) => this.#isKnown(engine),
      models: ModelRequester.create(this.context, this.#requestModel),
    });
    this.#clockOffset = clock.wallNow() - clock.now();
  }

  static create(options: GatewayOptions): Gateway {
    const gateway = new Gateway(options);
    options.feed.follow((change) => gateway.#applyChange(change));
    gateway.#runChecks();
    return gateway;
  }

  /** Whether the node should receive new callers. */
  get isReady(): boolean {
    return !this.#draining && this.#isInstallationKnown;
  }

  /** Number of requests in progress. */
  get openRequests(): number {
    return this.#requests.size;
  }

  get #isInstallationKnown(): boolean {
    const { configuration } = this.context;
    return configuration !== undefined && this.#completedTopics.size === 2;
  }

  /** Serves one request; the sink may receive a refusal before this returns. */
  open(request: ProxiedRequest, sink: CallerSink): RequestHandle {
    const { context } = this;
    const { configuration } = context;
    if (configuration === undefined) {
      const detail = "The node has not read its configuration yet";
      sink.refuse(refuse("notReady", detail, { retryAfter: millis(300) }));
      return closedHandle;
    }
    const route = findRoute(configuration, request);
    if (route === undefined) {
      const detail = `No route matches ${request.host}${request.path}`;
      context.dependencies.journal.record("requestRefused", {
        requestId: request.requestId,
        revision: configuration.revision,
        code: "unknownRoute",
        detail,
      });
      sink.refuse(refuse("unknownRoute", detail));
      return closedHandle;
    }
    const service = chooseTarget(route, context.dependencies.random());
    if (service === undefined) {
      sink.refuse(refuse("noServer", `Route ${route.name} has no service`));
      return closedHandle;
    }
    context.dependencies.journal.record("requestRouted", {
      requestId: request.requestId,
      route: route.name,
      service,
      revision: configuration.revision,
    });
    const task = RequestTask.start(
      {
        context,
        selector: this.#selector,
        usage: this.#usageReporter,
        request,
        route,
        service,
        sink,
      },
      () => this.#onRequestEnd(task),
    );
    this.#requests.add(task);
    context.dependencies.meter.gauge(
      "gateway_requests_open",
      this.#requests.size,
    );
    return task;
  }

  /** Handles a request of another node for an adapter on an engine that this node owns. */
  acquire(request: Parameters<NodeCallHandler["acquire"]>[0]) {
    return this.#engineControllers.acquire(request);
  }

  /** Handles a request of another node for a base model on an engine that this node owns. */
  requestModel(request: ModelRequest): Promise<ModelResult> {
    return this.#engineControllers.requestModel(request);
  }

  /** Reports the node as not ready; requests that still arrive are served. */
  startDraining(): void {
    this.#draining = true;
    this.#options.journal.record("drainStarted", { open: this.#requests.size });
  }

  /** Resolves once no request is in progress. */
  whenIdle(): Promise<void> {
    return new Promise((resolve) => {
      this.#onIdle = resolve;
      if (this.#requests.size === 0) resolve();
    });
  }

  /** Refuses every request that no server can have started. */
  refuseWaiting(): void {
    for (const task of [...this.#requests]) task.refuseIfWaiting();
  }

  /** Releases the leases and ends all tasks. */
  async stop(): Promise<void> {
    this.#cancelChecks();
    this.#usageReporter.stop();
    this.#engineControllers.stop();
    this.#options.feed.stop();
    await this.#leases.release();
    this.#options.usageChannel.close();
  }

  #onRequestEnd(task: RequestTask): void {
    this.#requests.delete(task);
    this.context.dependencies.meter.gauge(
      "gateway_requests_open",
      this.#requests.size,
    );
    if (this.#requests.size === 0) this.#onIdle();
  }

  readonly #acquire: AcquireAdapter = async (server, adapter) => {
    const holder = this.#leases.findHolder(server.id);
    const { machine: from } = this.context.dependencies.identity;
    const request = { from, engine: server.id, ...adapter };
    const refused: AcquireResult = { kind: "refused", reason: "not-owner" };
    if (holder === undefined) return refused;
    if (holder === from) {
      return this.#engineControllers.acquire(request);
    }
    const address = this.#leases.findAddress(holder);
    if (address === undefined || this.#leases.isUnresponsive(holder))
      return refused;
    this.#leases.recordRequest(holder);
    const answer = await this.#options.nodeLinks.acquire(address, request);
    const isAnswered =
      answer.kind === "ready" || answer.reason !== "unreachable";
    if (isAnswered) this.#leases.recordContact(holder);
    return answer;
  };

  readonly #requestModel: RequestModel = async (server, wanted) => {
    const request = { engine: server.id, ...wanted };
    const holder = this.#leases.findHolder(server.id);
    const refused: ModelResult = { kind: "refused", reason: "not-owner" };
    if (holder === undefined) return refused;
    if (holder === this.context.dependencies.identity.machine) {
      return this.#engineControllers.requestModel(request);
    }
    const address = this.#leases.findAddress(holder);
    if (address === undefined || this.#leases.isUnresponsive(holder))
      return refused;
    return this.#options.nodeLinks.requestModel(address, request);
  };

  /** Whether the contents of an engine are recent, or its owner cannot tell more. */
  #isKnown(engine: ServerId): boolean {
    const { adapterDirectory } = this.context;
    if (hasRecentReport(adapterDirectory, engine, this.context.now()))
      return true;
    const holder = this.#leases.findHolder(engine);
    return holder === undefined || this.#leases.isUnresponsive(holder);
  }

  #applyChange(change: InstallationChange): void {
    const { journal } = this.#options;
    switch (change.type) {
      case "configuration": {
        const known = this.context.configuration?.revision ?? -1;
        if (change.value.revision <= known) return;
        this.context.configuration = change.value;
        journal.record("revisionInForce", { revision: change.value.revision });
        this.#engineControllers.reconcile();
        return;
      }
      case "adapter-version": {
        const { place, version } = change.value;
        if (version <= (this.context.versions.get(place) ?? 0)) return;
        this.context.versions.set(place, version);
        journal.record("adapterVersionDeclared", { place, version });
        return;
      }
      case "server":
        this.#applyServerChange(change.change);
        return;
      case "complete":
        this.#completedTopics.add(change.topic);
        if (this.#completedTopics.size === 2) journal.record("nodeReady");
        return;
    }
  }

  #applyServerChange(change: ServerChange): void {
    const { directory, adapterDirectory } = this.context;
    if (change.type === "absent") {
      applyServerChange(directory, change);
      if (change.usableUntil === undefined) this.#forgetServer(change.id);
      return;
    }
    const { server } = change;
    const known = directory.servers.get(server.id);
    if (known !== undefined && known.born !== server.born) {
      forgetEngineAdapters(adapterDirectory, server.id);
      forgetServer(this.context.health, server.id);
    }
    applyServerChange(directory, change);
    recordRegistration(adapterDirectory, server, this.context.now());
    if (known === undefined || known.leaving !== server.leaving) {
      this.#recordServer(server);
    }
    this.#engineControllers.register(server);
  }

  #recordServer(server: BackendServer): void {
    const event = server.leaving ? "serverLeaving" : "serverSeen";
    const { id, service, address, dataCentre } = server;
    const fields = { server: id, service, address, dataCentre };
    this.#options.journal.record(event, fields);
  }

  #forgetServer(id: ServerId): void {
    forgetEngineAdapters(this.context.adapterDirectory, id);
    forgetServer(this.context.health, id);
    this.#options.links.disconnect(id);
    this.#usageReporter.forget(id);
    this.#options.journal.record("serverGone", { server: id });
    this.#engineControllers.reconcile();
  }

  /**
   * Removes expired servers, and invalidates the leases after a pause of the
   * process, since another node may have claimed them in the meantime.
   */
  #runChecks(): void {
    const { clock, journal } = this.#options;
    const clockOffset = clock.wallNow() - clock.now();
    if (Math.abs(clockOffset - this.#clockOffset) > pauseThreshold) {
      journal.record("processPaused", {
        gap: Math.round(clockOffset - this.#clockOffset),
      });
      this.#leases.invalidate();
    }
    this.#clockOffset = clockOffset;
    for (const id of removeExpiredServers(
      this.context.directory,
      clock.now(),
    )) {
      this.#forgetServer(id);
    }
    this.#cancelChecks = clock.schedule(checkInterval, () => this.#runChecks());
  }
}

const closedHandle: RequestHandle = { cancel() {} };
