import type { Millis } from "../../../core/clock.ts";
import {
  type AvailableAdapter,
  createBacklogLedger,
  type EngineUsage,
  forgetBacklog,
  type OwnerReport,
  recordPromisedRequest,
  recordUsage,
  sumOtherBacklog,
} from "../../../core/gateway/engine_backlog.ts";
import { usualLoadUrgency } from "../../../core/gateway/load_urgency.ts";
import type { FleetView } from "../../../core/gateway/model_placement.ts";
import {
  type BackendServer,
  listUsableServers,
} from "../../../core/gateway/servers.ts";
import {
  type MachineName,
  type ModelName,
  parseModelAdapterKey,
  type ServerId,
  type ServiceName,
} from "../../../core/ids.ts";
import type { EngineOrders } from "../../../ports/gateway.ts";
import type {
  AcquireResult,
  ModelRequest,
  ModelResult,
  NodeCallHandler,
} from "../../../ports/nodes.ts";
import type { GatewayContext } from "../context.ts";
import type { LeaseManager } from "../rows/lease_manager.ts";
import type { TakePermit } from "../servers/server_permits.ts";
import { EngineController } from "./engine_controller.ts";

/** Upper bound of the first contents version of a controller, which is drawn at random. */
const maxFirstVersion = 2 ** 31;

/** Time for which the holders of the models are not determined again, in ms. */
const fleetViewLifetime = 500;

type ModelHolders = {
  readonly at: Millis;
  /** Number of engines of the service. */
  readonly engines: number;
  readonly byModel: ReadonlyMap<ModelName, readonly ServerId[]>;
};

type ContentsVersion = { readonly digest: string; readonly version: number };

type EngineControllersOptions = {
  readonly orders: EngineOrders;
  readonly leases: LeaseManager;
  readonly takePermit: TakePermit;
};

/** Controllers of the engines whose leases this node holds. */
export class EngineControllers {
  readonly #context: GatewayContext;
  readonly #orders: EngineOrders;
  readonly #leases: LeaseManager;
  readonly #takePermit: TakePermit;
  readonly #versions = new Map<ServerId, ContentsVersion>();
  readonly #backlogs = createBacklogLedger();
  readonly #controllers = new Map<ServerId, EngineController>();
  readonly #holders = new Map<ServiceName, ModelHolders>();

  private constructor(
    context: GatewayContext,
    options: EngineControllersOptions,
  ) {
    this.#context = context;
    this.#orders = options.orders;
    this.#leases = options.leases;
    this.#takePermit = options.takePermit;
  }

  static create(
    context: GatewayContext,
    options: EngineControllersOptions,
  ): EngineControllers {
    return new EngineControllers(context, options);
  }

  /** Starts and stops controllers to match the held leases and the registered servers. */
  reconcile(): void {
    const held = new Set(this.#leases.held());
    for (const engine of this.#controllers.keys()) {
      if (!held.has(engine)) this.#stop(engine);
    }
    for (const engine of held) {
      const server = this.#context.directory.servers.get(engine);
      if (server === undefined) this.#stop(engine);
      else this.#ensureStarted(server);
    }
  }

  /** Applies a registration; an engine that has restarted gets a new controller. */
  register(server: BackendServer): void {
    const controller = this.#controllers.get(server.id);
    if (controller === undefined) return this.reconcile();
    if (controller.born === server.born) return controller.register(server);
    this.#stop(server.id);
    this.reconcile();
  }

  async acquire(
    request: Parameters<NodeCallHandler["acquire"]>[0],
  ): Promise<AcquireResult> {
    const controller = this.#controllers.get(request.engine);
    const fence = this.#leases.findOrderFence(request.engine);
    if (controller === undefined || fence === undefined) {
      return { kind: "refused", reason: "not-owner" };
    }
    const { from, engine, place, version, wasDenied, patience } = request;
    const { model, adapter } = parseModelAdapterKey(place);
    const reply = await controller.acquire({
      key: place,
      model,
      adapter,
      version,
      wasDenied,
      patience,
      urgency: request.urgency ?? usualLoadUrgency,
    });
    if (reply.kind !== "ready") return reply;
    const now = this.#context.now();
    const of = { engine, except: from };
    const backlog = sumOtherBacklog(this.#backlogs, of, now);
    recordPromisedRequest(this.#backlogs, { engine, to: from }, now);
    return { ...reply, backlog };
  }

  async requestModel(request: ModelRequest): Promise<ModelResult> {
    const { engine, model, requests } = request;
    const controller = this.#controllers.get(engine);
    const fence = this.#leases.findOrderFence(engine);
    if (controller === undefined || fence === undefined) {
      return { kind: "refused", reason: "not-owner" };
    }
    const reply = await controller.requestModel(model, requests);
    if (reply.kind === "ready") return reply;
    const reason = reply.reason === "not-owner" ? "not-owner" : "busy";
    return { kind: "refused", reason };
  }

  /** Describes the engines of a service to the controller of one of them. */
  #describeFleet(server: BackendServer): FleetView {
    const now = this.#context.now();
    const known = this.#holders.get(server.service);
    const holders =
      known !== undefined && now < known.at + fleetViewLifetime
        ? known
        : this.#findHolders(server.service);
    this.#holders.set(server.service, holders);
    const counts = new Map<ModelName, number>();
    const reserved = new Set<ModelName>();
    for (const [model, engines] of holders.byModel) {
      counts.set(model, engines.length);
      if (engines[0] === server.id) reserved.add(model);
    }
    const { engines } = holders;
    const of = { engine: server.id, except: undefined };
    const { requests, running } = sumOtherBacklog(this.#backlogs, of, now);
    const load = requests + running;
    return { engines, holders: counts, reserved, load };
  }

  /** Engines that hold each model of a service, in the order of their ids. */
  #findHolders(service: ServiceName): ModelHolders {
    const byModel = new Map<ModelName, ServerId[]>();
    const servers = listUsableServers(this.#context.directory, service);
    servers.sort((a, b) => (a.id < b.id ? -1 : 1));
    for (const { id, models } of servers) {
      for (const { name } of models) {
        byModel.set(name, [...(byModel.get(name) ?? []), id]);
      }
    }
    return { at: this.#context.now(), engines: servers.length, byModel };
  }

  /** Records the usage that a node reports; returns the backlog of the other nodes. */
  recordUsage(
    from: MachineName,
    engines: readonly EngineUsage[],
  ): OwnerReport[] {
    const now = this.#context.now();
    const reports: OwnerReport[] = [];
    for (const use of engines) {
      const controller = this.#controllers.get(use.engine);
      if (controller === undefined) continue;
      controller.recordUsage(from, use);
      recordUsage(this.#backlogs, { from, use }, now);
      const { engine } = use;
      const adapters = controller.listAvailable();
      const contentsVersion = this.#updateVersion(engine, adapters);
      const isCurrent = use.contentsVersion === contentsVersion;
      reports.push({
        engine,
        contentsVersion,
        availableAdapters: isCurrent ? undefined : adapters,
        ...sumOtherBacklog(this.#backlogs, { engine, except: from }, now),
      });
    }
    return reports;
  }

  /** Version of the contents; the first one differs from those of earlier controllers. */
  #updateVersion(
    engine: ServerId,
    adapters: readonly AvailableAdapter[],
  ): number {
    const digest = adapters
      .map(({ key, version }) => `${key}@${version}`)
      .join();
    const known = this.#versions.get(engine);
    if (known?.digest === digest) return known.version;
    const { random } = this.#context.dependencies;
    const version =
      known === undefined
        ? 1 + Math.floor(random() * maxFirstVersion)
        : known.version + 1;
    this.#versions.set(engine, { digest, version });
    return version;
  }

  stop(): void {
    for (const engine of [...this.#controllers.keys()]) this.#stop(engine);
  }

  #ensureStarted(server: BackendServer): void {
    if (this.#controllers.has(server.id)) return;
    const { configuration } = this.#context;
    const traits = configuration?.services.get(server.service)?.engine;
    if (traits === undefined) return;
    const controller = EngineController.create({
      context: this.#context,
      orders: this.#orders,
      leases: this.#leases,
      takePermit: this.#takePermit,
      server,
      traits,
      describeFleet: (engine) => this.#describeFleet(engine),
    });
    this.#controllers.set(server.id, controller);
  }

  #stop(engine: ServerId): void {
    this.#controllers.get(engine)?.stop();
    forgetBacklog(this.#backlogs, engine);
    this.#versions.delete(engine);
    this.#controllers.delete(engine);
  }
}
