import { type Cancel, millis } from "../../core/clock.ts";
import {
  forgetEngineAdapters,
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
  CallerSink,
  EngineOrders,
  InstallationChange,
  InstallationFeed,
  NodeExchange,
  NodeLinks,
  PassedRequest,
  PlaceAnswer,
  UseChannel,
} from "../../ports/gateway.ts";
import type { TableService } from "../../ports/table.ts";
import { GatewayContext, type GatewayDependencies } from "./context.ts";
import { EngineControllers } from "./engine_controllers.ts";
import { LeaseManager } from "./lease_manager.ts";
import { RequestTask } from "./request_task.ts";
import { type AcquireAdapter, ServerSelector } from "./server_selector.ts";
import { UsageReporter } from "./usage_reporter.ts";

/** Time between two looks for lapsed servers and pauses of the process, in ms. */
const watchPeriod = millis(100);
/** Difference between the steady clock and the time of day that tells of a pause, in ms. */
const pauseThreshold = 250;

/** What a gateway needs from outside. */
export type GatewayOptions = GatewayDependencies & {
  readonly table: TableService;
  readonly feed: InstallationFeed;
  readonly orders: EngineOrders;
  readonly nodeLinks: NodeLinks;
  readonly useChannel: UseChannel;
};

/** Steers one request for its front end. */
export type RequestHandle = { cancel(): void };

/** Passes requests to the servers that the operator's configuration names. */
export class Gateway implements NodeExchange {
  readonly context: GatewayContext;
  readonly #options: GatewayOptions;
  readonly #leases: LeaseManager;
  readonly #keepers: EngineControllers;
  readonly #locator: ServerSelector;
  readonly #uses: UsageReporter;
  readonly #open = new Set<RequestTask>();
  readonly #complete = new Set<string>();
  #onIdle: () => void = () => {};
  #cancelWatch: Cancel = () => {};
  #clockGap: number;
  #draining = false;

  private constructor(options: GatewayOptions) {
    this.#options = options;
    const { clock } = options;
    this.context = GatewayContext.create(options);
    this.#leases = LeaseManager.create({
      context: this.context,
      table: options.table,
      onChange: () => this.#keepers.reconcile(),
    });
    this.#keepers = EngineControllers.create(this.context, {
      orders: options.orders,
      leases: this.#leases,
    });
    this.#uses = UsageReporter.create({
      context: this.context,
      leases: this.#leases,
      keepers: this.#keepers,
      channel: options.useChannel,
    });
    this.#locator = ServerSelector.create(this.context, {
      acquire: this.#acquire,
      estimateWait: (engine) => this.#uses.estimateWait(engine),
    });
    this.#clockGap = clock.wallNow() - clock.now();
  }

  static create(options: GatewayOptions): Gateway {
    const gateway = new Gateway(options);
    options.feed.follow((change) => gateway.#absorb(change));
    gateway.#watch();
    return gateway;
  }

  /** Whether the node should get new callers. */
  get isReady(): boolean {
    return !this.#draining && this.#knowsInstallation;
  }

  /** Requests that are being served. */
  get openRequests(): number {
    return this.#open.size;
  }

  get #knowsInstallation(): boolean {
    const { configuration } = this.context;
    return configuration !== undefined && this.#complete.size === 2;
  }

  /** Serves one request; the sink may hear of a refusal before this returns. */
  open(request: PassedRequest, sink: CallerSink): RequestHandle {
    const { context } = this;
    const { configuration } = context;
    if (configuration === undefined) {
      const detail = "The node has not read its configuration yet";
      sink.refuse(refuse("notReady", detail, { retryAfter: millis(300) }));
      return idleControl;
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
      return idleControl;
    }
    const service = chooseTarget(route, context.dependencies.random());
    if (service === undefined) {
      sink.refuse(refuse("noServer", `Route ${route.name} has no service`));
      return idleControl;
    }
    context.dependencies.journal.record("requestRouted", {
      requestId: request.requestId,
      route: route.name,
      service,
      revision: configuration.revision,
    });
    const call = RequestTask.start(
      {
        context,
        locator: this.#locator,
        usage: this.#uses,
        request,
        route,
        service,
        sink,
      },
      () => this.#onCallEnd(call),
    );
    this.#open.add(call);
    context.dependencies.meter.gauge("gateway_requests_open", this.#open.size);
    return call;
  }

  /** Serves a request of another node for an adapter of an engine owned here. */
  acquire(request: Parameters<NodeExchange["acquire"]>[0]) {
    return this.#keepers.acquire(request);
  }

  /** Stops being ready; requests that still come are served. */
  startDraining(): void {
    this.#draining = true;
    this.#options.journal.record("drainStarted", { open: this.#open.size });
  }

  /** Resolves once no request is open. */
  whenIdle(): Promise<void> {
    return new Promise((resolve) => {
      this.#onIdle = resolve;
      if (this.#open.size === 0) resolve();
    });
  }

  /** Refuses every request that no server has got yet. */
  refuseWaiting(): void {
    for (const call of [...this.#open]) call.refuseIfWaiting();
  }

  /** Gives up the leases and ends all tasks. */
  async stop(): Promise<void> {
    this.#cancelWatch();
    this.#uses.stop();
    this.#keepers.stop();
    this.#options.feed.stop();
    await this.#leases.release();
    this.#options.useChannel.close();
  }

  #onCallEnd(call: RequestTask): void {
    this.#open.delete(call);
    this.context.dependencies.meter.gauge(
      "gateway_requests_open",
      this.#open.size,
    );
    if (this.#open.size === 0) this.#onIdle();
  }

  readonly #acquire: AcquireAdapter = async (server, wanted) => {
    const holder = this.#leases.findHolder(server.id);
    const request = { engine: server.id, ...wanted };
    const refused: PlaceAnswer = { kind: "refused", reason: "not-owner" };
    if (holder === undefined) return refused;
    if (holder === this.context.dependencies.identity.machine) {
      return this.#keepers.acquire(request);
    }
    const address = this.#leases.findAddress(holder);
    if (address === undefined || this.#leases.isUnresponsive(holder))
      return refused;
    return this.#options.nodeLinks.acquire(address, request);
  };

  #absorb(change: InstallationChange): void {
    const { journal } = this.#options;
    switch (change.type) {
      case "configuration": {
        const known = this.context.configuration?.revision ?? -1;
        if (change.value.revision <= known) return;
        this.context.configuration = change.value;
        journal.record("revisionInForce", { revision: change.value.revision });
        this.#keepers.reconcile();
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
        this.#absorbServer(change.change);
        return;
      case "complete":
        this.#complete.add(change.topic);
        if (this.#complete.size === 2) journal.record("nodeReady");
        return;
    }
  }

  #absorbServer(change: ServerChange): void {
    const { directory, adapterDirectory: holdings } = this.context;
    if (change.type === "absent") {
      applyServerChange(directory, change);
      if (change.usableUntil === undefined) this.#forget(change.id);
      return;
    }
    const { server } = change;
    const known = directory.servers.get(server.id);
    if (known !== undefined && known.born !== server.born) {
      forgetEngineAdapters(holdings, server.id);
      forgetServer(this.context.health, server.id);
    }
    applyServerChange(directory, change);
    recordRegistration(holdings, server, this.context.now());
    if (known === undefined || known.leaving !== server.leaving) {
      this.#recordServer(server);
    }
    this.#keepers.register(server);
  }

  #recordServer(server: BackendServer): void {
    const event = server.leaving ? "serverLeaving" : "serverSeen";
    const { id, service, address, dataCentre } = server;
    const fields = { server: id, service, address, dataCentre };
    this.#options.journal.record(event, fields);
  }

  #forget(id: ServerId): void {
    forgetEngineAdapters(this.context.adapterDirectory, id);
    forgetServer(this.context.health, id);
    this.#options.links.forget(id);
    this.#uses.forget(id);
    this.#options.journal.record("serverGone", { server: id });
    this.#keepers.reconcile();
  }

  /** Notices lapsed servers, and pauses of the process, after which no lease is trusted. */
  #watch(): void {
    const { clock, journal } = this.#options;
    const gap = clock.wallNow() - clock.now();
    if (Math.abs(gap - this.#clockGap) > pauseThreshold) {
      journal.record("processPaused", {
        gap: Math.round(gap - this.#clockGap),
      });
      this.#leases.invalidate();
    }
    this.#clockGap = gap;
    for (const id of removeExpiredServers(
      this.context.directory,
      clock.now(),
    )) {
      this.#forget(id);
    }
    this.#cancelWatch = clock.schedule(watchPeriod, () => this.#watch());
  }
}

const idleControl: RequestHandle = { cancel() {} };
