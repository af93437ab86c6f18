import type { Millis } from "../../core/clock.ts";
import {
  createLoadLedger,
  type EngineLoad,
  type EngineUse,
  forgetLoad,
  type HeldPlace,
  noteLoad,
  sumOtherLoad,
} from "../../core/gateway/engine_load.ts";
import type { BackendServer } from "../../core/gateway/servers.ts";
import {
  type AdapterName,
  brandString,
  type MachineName,
  type ModelName,
  type ServerId,
} from "../../core/ids.ts";
import type {
  EngineOrders,
  NodeExchange,
  PlaceAnswer,
} from "../../ports/gateway.ts";
import type { GatewayContext } from "./context.ts";
import { EngineController } from "./engine_controller.ts";
import type { LeaseManager } from "./lease_manager.ts";

/** Time after which unchanged contents are told again, since datagrams are lost, in ms. */
const tellAgainAfter = 1_500;

type Told = { readonly digest: string; readonly at: Millis };

/** Owners of the engines whose lease this node holds. */
export class EngineControllers {
  readonly #context: GatewayContext;
  readonly #orders: EngineOrders;
  readonly #leases: LeaseManager;
  /** Contents that each node was last told, by engine. */
  readonly #told = new Map<ServerId, Map<MachineName, Told>>();
  readonly #ledger = createLoadLedger();
  readonly #keepers = new Map<ServerId, EngineController>();

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

  /** Starts and stops owners so that they match the held leases and the servers. */
  reconcile(): void {
    const held = new Set(this.#leases.held());
    for (const engine of this.#keepers.keys()) {
      if (!held.has(engine)) this.#stop(engine);
    }
    for (const engine of held) {
      const server = this.#context.directory.servers.get(engine);
      if (server === undefined) this.#stop(engine);
      else this.#obtain(server);
    }
  }

  /** Takes over a registration; an engine that was born again gets a new owner state. */
  register(server: BackendServer): void {
    const keeper = this.#keepers.get(server.id);
    if (keeper === undefined) return this.reconcile();
    if (keeper.born === server.born) return keeper.register(server);
    this.#stop(server.id);
    this.reconcile();
  }

  async acquire(
    request: Parameters<NodeExchange["acquire"]>[0],
  ): Promise<PlaceAnswer> {
    const keeper = this.#keepers.get(request.engine);
    const right = this.#leases.findOrderFence(request.engine);
    if (keeper === undefined || right === undefined) {
      return { kind: "refused", reason: "not-owner" };
    }
    const { place, version, wasDenied, patience } = request;
    const slash = place.indexOf("/");
    const model: ModelName = brandString(place.slice(0, slash));
    const adapter: AdapterName = brandString(place.slice(slash + 1));
    return keeper.acquire({
      key: place,
      model,
      adapter,
      version,
      wasDenied,
      patience,
    });
  }

  /** Takes over what a node uses; answers with the load that the others cause. */
  recordUsage(from: MachineName, engines: readonly EngineUse[]): EngineLoad[] {
    const now = this.#context.now();
    const loads: EngineLoad[] = [];
    for (const use of engines) {
      const keeper = this.#keepers.get(use.engine);
      if (keeper === undefined) continue;
      keeper.recordUsage(from, use);
      noteLoad(this.#ledger, { from, use }, now);
      const { engine } = use;
      const of = { engine, except: from };
      const places = this.#listNews(keeper, { engine, to: from });
      loads.push({ engine, places, ...sumOtherLoad(this.#ledger, of, now) });
    }
    return loads;
  }

  /** Contents of an engine if the node has not heard of them, or not for a while. */
  #listNews(
    keeper: EngineController,
    of: { engine: ServerId; to: MachineName },
  ): readonly HeldPlace[] | undefined {
    const now = this.#context.now();
    const places = keeper.listAvailable();
    const digest = places.map(({ key, version }) => `${key}@${version}`).join();
    const told = this.#told.get(of.engine) ?? new Map<MachineName, Told>();
    this.#told.set(of.engine, told);
    const last = told.get(of.to);
    const isFresh = last !== undefined && now < last.at + tellAgainAfter;
    if (isFresh && last.digest === digest) return undefined;
    told.set(of.to, { digest, at: now });
    return places;
  }

  stop(): void {
    for (const engine of [...this.#keepers.keys()]) this.#stop(engine);
  }

  #obtain(server: BackendServer): void {
    if (this.#keepers.has(server.id)) return;
    const { configuration } = this.#context;
    const traits = configuration?.services.get(server.service)?.engine;
    if (traits === undefined) return;
    const keeper = EngineController.create({
      context: this.#context,
      orders: this.#orders,
      leases: this.#leases,
      server,
      traits,
    });
    this.#keepers.set(server.id, keeper);
  }

  #stop(engine: ServerId): void {
    this.#keepers.get(engine)?.stop();
    forgetLoad(this.#ledger, engine);
    this.#told.delete(engine);
    this.#keepers.delete(engine);
  }
}
