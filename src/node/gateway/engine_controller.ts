import { createActor } from "xstate";
import { type Cancel, millis } from "../../core/clock.ts";
import type { EngineTraits } from "../../core/gateway/configuration.ts";
import type { EngineUse, HeldPlace } from "../../core/gateway/engine_load.ts";
import {
  chooseLeastRecent,
  listAvailable,
} from "../../core/gateway/engine_places.ts";
import { createKeeperState, decideKeeper } from "../../core/gateway/keeper.ts";
import type {
  KeeperCommand,
  KeeperEvent,
  KeeperState,
  Ticket,
} from "../../core/gateway/keeper_messages.ts";
import type { EngineOrder } from "../../core/gateway/orders.ts";
import type { BackendServer } from "../../core/gateway/servers.ts";
import type {
  AdapterName,
  MachineName,
  ModelName,
  PlaceKey,
} from "../../core/ids.ts";
import type { EngineOrders, PlaceAnswer } from "../../ports/gateway.ts";
import { createDecisionLogic, type DecisionActor } from "../decision_actor.ts";
import type { GatewayContext } from "./context.ts";
import type { LeaseManager } from "./lease_manager.ts";

/** Time between two looks at what is due, in ms. */
const tickPeriod = millis(50);

type EngineControllerOptions = {
  readonly context: GatewayContext;
  readonly orders: EngineOrders;
  readonly leases: LeaseManager;
  readonly server: BackendServer;
  readonly traits: EngineTraits;
};

/** Actor of the owner of one engine. */
export class EngineController {
  readonly #options: EngineControllerOptions;
  readonly #actor: DecisionActor<KeeperState, KeeperEvent>;
  readonly #replies = new Map<Ticket, (answer: PlaceAnswer) => void>();
  #server: BackendServer;
  #tickets = 0;
  #cancelTick: Cancel = () => {};

  private constructor(options: EngineControllerOptions) {
    this.#options = options;
    this.#server = options.server;
    const { clock } = options.context.dependencies;
    const logic = createDecisionLogic<KeeperState, KeeperEvent, KeeperCommand>({
      initial: createKeeperState({
        traits: options.traits,
        models: options.server.models,
        policies: { chooseVictim: chooseLeastRecent },
        now: clock.now(),
      }),
      decide: decideKeeper,
      perform: (command) => this.#perform(command),
      clock,
    });
    this.#actor = createActor(logic);
  }

  static create(options: EngineControllerOptions): EngineController {
    const keeper = new EngineController(options);
    keeper.#actor.start();
    keeper.#tick();
    return keeper;
  }

  /** Start of the incarnation that this keeper orders. */
  get born(): number | undefined {
    return this.#server.born;
  }

  /** Takes over what the engine registered. */
  register(server: BackendServer): void {
    this.#server = server;
    this.#actor.send({ type: "registered", models: server.models });
  }

  /** Answers once the adapter is there or on its way. */
  acquire(wanted: {
    readonly key: PlaceKey;
    readonly model: ModelName;
    readonly adapter: AdapterName;
    readonly version: number;
    readonly wasDenied: boolean;
    readonly patience: number;
  }): Promise<PlaceAnswer> {
    const ticket = ++this.#tickets;
    return new Promise((resolve) => {
      this.#replies.set(ticket, resolve);
      this.#actor.send({ type: "acquire", ticket, ...wanted });
    });
  }

  /** Notes which adapters the requests of a node used lately. */
  recordUsage(node: MachineName, { ran, awaited }: EngineUse): void {
    this.#actor.send({ type: "used", node, ran, awaited });
  }

  /** Adapters that requests may be sent for. */
  listAvailable(): readonly HeldPlace[] {
    const { contents } = this.#actor.getSnapshot().context;
    return listAvailable(contents, this.#options.context.now());
  }

  /** Ends the task; waiting nodes are told to look elsewhere. */
  stop(): void {
    this.#cancelTick();
    this.#actor.stop();
    for (const resolve of this.#replies.values()) {
      resolve({ kind: "refused", reason: "not-owner" });
    }
    this.#replies.clear();
  }

  #tick(): void {
    const { context, leases } = this.#options;
    const mayOrder = leases.findOrderFence(this.#server.id) !== undefined;
    this.#actor.send({ type: "tick", mayOrder });
    this.#cancelTick = context.dependencies.clock.schedule(tickPeriod, () =>
      this.#tick(),
    );
  }

  #perform(command: KeeperCommand): void {
    switch (command.type) {
      case "order":
        void this.#order(command.order);
        return;
      case "ask-status":
        void this.#askStatus();
        return;
      case "reply":
        this.#replies.get(command.ticket)?.(command.reply);
        this.#replies.delete(command.ticket);
        return;
    }
  }

  async #order(order: EngineOrder): Promise<void> {
    const { context, orders, leases } = this.#options;
    const { journal, meter, identity } = context.dependencies;
    const fence = leases.findOrderFence(this.#server.id);
    if (fence === undefined) {
      this.#actor.send({
        type: "answered",
        order,
        answer: { kind: "unreachable" },
      });
      return;
    }
    const holder = { machine: identity.machine, fence };
    const answer = await orders.order(this.#server, order, holder);
    journal.record("engineOrdered", {
      server: this.#server.id,
      operation: order.operation,
      adapter: order.adapter as never,
      version: order.version,
      expected: order.expectedCount,
      fence,
      answer: answer.kind,
      detail: "detail" in answer ? answer.detail : undefined,
    });
    const { operation } = order;
    meter.count("engine_orders_total", { operation, answer: answer.kind });
    this.#actor.send({ type: "answered", order, answer });
  }

  async #askStatus(): Promise<void> {
    const answer = await this.#options.orders.askStatus(this.#server);
    answer.caseOf({
      Left: () => this.#actor.send({ type: "status", status: undefined }),
      Right: (status) => this.#actor.send({ type: "status", status }),
    });
  }
}
