import type { Millis } from "../../core/clock.ts";
import {
  type AvailableAdapter,
  createBacklogLedger,
  type EngineUsage,
  forgetBacklog,
  type OwnerReport,
  recordUsage,
  sumOtherBacklog,
} from "../../core/gateway/engine_backlog.ts";
import type { BackendServer } from "../../core/gateway/servers.ts";
import {
  type AdapterName,
  brandString,
  type MachineName,
  type ModelName,
  type ServerId,
} from "../../core/ids.ts";
import type {
  AcquireResult,
  EngineOrders,
  NodeCallHandler,
} from "../../ports/gateway.ts";
import type { GatewayContext } from "./context.ts";
import { EngineController } from "./engine_controller.ts";
import type { LeaseManager } from "./lease_manager.ts";

/** Interval after which unchanged contents are sent again, since datagrams may be lost, in ms. */
const resendInterval = 1_500;

type SentContents = { readonly digest: string; readonly at: Millis };

/** Controllers of the engines whose leases this node holds. */
export class EngineControllers {
  readonly #context: GatewayContext;
  readonly #orders: EngineOrders;
  readonly #leases: LeaseManager;
  /** Contents last sent to each node, by engine. */
  readonly #sentContents = new Map<ServerId, Map<MachineName, SentContents>>();
  readonly #backlogs = createBacklogLedger();
  readonly #controllers = new Map<ServerId, EngineController>();

  private constructor(
    context: GatewayContext,
    options: { orders: EngineOrders; leases: LeaseManager },
  ) {
    this.#context = context;
    this.#orders = options.orders;
    this.#leases = options.leases;
  }

  static create(
    context: GatewayContext,
    options: { orders: EngineOrders; leases: LeaseManager },
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
    const { place, version, wasDenied, patience } = request;
    const slash = place.indexOf("/");
    const model: ModelName = brandString(place.slice(0, slash));
    const adapter: AdapterName = brandString(place.slice(slash + 1));
    return controller.acquire({
      key: place,
      model,
      adapter,
      version,
      wasDenied,
      patience,
    });
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
      const of = { engine, except: from };
      const availableAdapters = this.#takeContentsUpdate(controller, {
        engine,
        to: from,
      });
      reports.push({
        engine,
        availableAdapters,
        ...sumOtherBacklog(this.#backlogs, of, now),
      });
    }
    return reports;
  }

  /** Contents of an engine if the node lacks the latest ones or they are due to be sent again. */
  #takeContentsUpdate(
    controller: EngineController,
    target: { engine: ServerId; to: MachineName },
  ): readonly AvailableAdapter[] | undefined {
    const now = this.#context.now();
    const adapters = controller.listAvailable();
    const digest = adapters
      .map(({ key, version }) => `${key}@${version}`)
      .join();
    const sent =
      this.#sentContents.get(target.engine) ??
      new Map<MachineName, SentContents>();
    this.#sentContents.set(target.engine, sent);
    const last = sent.get(target.to);
    const isFresh = last !== undefined && now < last.at + resendInterval;
    if (isFresh && last.digest === digest) return undefined;
    sent.set(target.to, { digest, at: now });
    return adapters;
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
      server,
      traits,
    });
    this.#controllers.set(server.id, controller);
  }

  #stop(engine: ServerId): void {
    this.#controllers.get(engine)?.stop();
    forgetBacklog(this.#backlogs, engine);
    this.#sentContents.delete(engine);
    this.#controllers.delete(engine);
  }
}
