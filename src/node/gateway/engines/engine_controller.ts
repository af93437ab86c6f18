import { createActor } from "xstate";
import { type Cancel, millis } from "../../../core/clock.ts";
import type { EngineTraits } from "../../../core/gateway/configuration.ts";
import type {
  AvailableAdapter,
  EngineUsage,
} from "../../../core/gateway/engine_backlog.ts";
import {
  chooseLeastRecentlyUsed,
  listAvailableAdapters,
} from "../../../core/gateway/engine_contents.ts";
import {
  createEngineControllerState,
  decideEngineController,
} from "../../../core/gateway/engine_controller.ts";
import type {
  EngineControllerCommand,
  EngineControllerEvent,
  EngineControllerState,
  Ticket,
} from "../../../core/gateway/engine_controller_messages.ts";
import type { LoadUrgency } from "../../../core/gateway/load_urgency.ts";
import type { FleetView } from "../../../core/gateway/model_placement.ts";
import type { EngineOrder } from "../../../core/gateway/orders.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type {
  AdapterName,
  MachineName,
  ModelAdapterKey,
  ModelName,
} from "../../../core/ids.ts";
import type { EngineOrders } from "../../../ports/gateway.ts";
import {
  createDecisionLogic,
  type DecisionActor,
} from "../../decision_actor.ts";
import type { GatewayContext } from "../context.ts";
import type { LeaseManager } from "../rows/lease_manager.ts";
import type { TakePermit } from "../servers/server_permits.ts";

/** Interval of the `tick` events, on which the controller sends due orders and requests due reports, in ms. */
const tickInterval = millis(50);

/** Reply of a controller, without the requests at its engine. */
export type AcquireReply =
  | Extract<EngineControllerCommand, { type: "reply" }>["reply"]
  | { readonly kind: "refused"; readonly reason: "not-owner" };

type EngineControllerOptions = {
  readonly context: GatewayContext;
  readonly orders: EngineOrders;
  readonly leases: LeaseManager;
  readonly takePermit: TakePermit;
  readonly server: BackendServer;
  readonly traits: EngineTraits;
  readonly describeFleet: (server: BackendServer) => FleetView;
};

/** Runs the decisions of an engine's owner: sends its orders and answers the nodes that wait. */
export class EngineController {
  readonly #options: EngineControllerOptions;
  readonly #actor: DecisionActor<EngineControllerState, EngineControllerEvent>;
  readonly #pendingReplies = new Map<Ticket, (answer: AcquireReply) => void>();
  #server: BackendServer;
  #lastTicket = 0;
  #cancelTick: Cancel = () => {};

  private constructor(options: EngineControllerOptions) {
    this.#options = options;
    this.#server = options.server;
    const { clock } = options.context.dependencies;
    const logic = createDecisionLogic<
      EngineControllerState,
      EngineControllerEvent,
      EngineControllerCommand
    >({
      initial: createEngineControllerState({
        traits: options.traits,
        models: options.server.models,
        policies: { chooseVictim: chooseLeastRecentlyUsed },
        now: clock.now(),
      }),
      decide: decideEngineController,
      perform: (command) => this.#perform(command),
      clock,
    });
    this.#actor = createActor(logic);
  }

  static create(options: EngineControllerOptions): EngineController {
    const controller = new EngineController(options);
    controller.#actor.start();
    controller.#tick();
    return controller;
  }

  /** Start time of the engine incarnation that this controller gives orders to. */
  get born(): number | undefined {
    return this.#server.born;
  }

  /** Applies a new registration of the engine. */
  register(server: BackendServer): void {
    this.#server = server;
    this.#actor.send({ type: "registered", models: server.models });
  }

  /** Resolves once the adapter is loaded or loading, or the request is refused. */
  acquire(wanted: {
    readonly key: ModelAdapterKey;
    readonly model: ModelName;
    readonly adapter: AdapterName;
    readonly version: number;
    readonly wasDenied: boolean;
    readonly patience: number;
    readonly urgency: LoadUrgency;
  }): Promise<AcquireReply> {
    const ticket = ++this.#lastTicket;
    return new Promise((resolve) => {
      this.#pendingReplies.set(ticket, resolve);
      this.#actor.send({ type: "acquire", ticket, ...wanted });
    });
  }

  /** Resolves to the reply to requests for a base model. */
  requestModel(model: ModelName, requests: number): Promise<AcquireReply> {
    const ticket = ++this.#lastTicket;
    return new Promise((resolve) => {
      this.#pendingReplies.set(ticket, resolve);
      this.#actor.send({ type: "model-wanted", ticket, model, requests });
    });
  }

  /** Records which adapters the requests of a node used recently. */
  recordUsage(node: MachineName, { ran, queuedAdapters }: EngineUsage): void {
    this.#actor.send({ type: "used", node, ran, queuedAdapters });
  }

  /** Adapters for which requests may be sent to the engine. */
  listAvailable(): readonly AvailableAdapter[] {
    const { contents } = this.#actor.getSnapshot().context;
    return listAvailableAdapters(contents, this.#options.context.now());
  }

  /** Ends the task; nodes that still wait get the refusal `not-owner`. */
  stop(): void {
    this.#cancelTick();
    this.#actor.stop();
    for (const resolve of this.#pendingReplies.values()) {
      resolve({ kind: "refused", reason: "not-owner" });
    }
    this.#pendingReplies.clear();
  }

  #tick(): void {
    const { context, leases } = this.#options;
    // Scheduled first, so that a tick that fails does not end the ticks.
    this.#cancelTick = context.dependencies.clock.schedule(tickInterval, () =>
      this.#tick(),
    );
    const mayOrder =
      leases.findOrderFence(this.#server.id) !== undefined &&
      context.availability.canTakeNext(this.#server);
    const fleet = this.#options.describeFleet(this.#server);
    this.#actor.send({ type: "tick", mayOrder, fleet });
  }

  #perform(command: EngineControllerCommand): void {
    switch (command.type) {
      case "order":
        void this.#order(command.order);
        return;
      case "request-status":
        void this.#askStatus();
        return;
      case "reply":
        this.#pendingReplies.get(command.ticket)?.(command.reply);
        this.#pendingReplies.delete(command.ticket);
        return;
    }
  }

  async #order(order: EngineOrder): Promise<void> {
    const { context, orders, leases } = this.#options;
    const { journal, meter, identity } = context.dependencies;
    const isPermitted = await this.#takePermit();
    const fence = leases.findOrderFence(this.#server.id);
    if (
      fence === undefined ||
      !isPermitted ||
      context.availability.isPaused(this.#server)
    ) {
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

  /** Orders and reports arrive at the engine like requests, so its limit counts them as well. */
  async #takePermit(): Promise<boolean> {
    const permit = await this.#options.takePermit(this.#server, millis(0));
    return permit.kind !== "denied";
  }

  async #askStatus(): Promise<void> {
    const { context, orders } = this.#options;
    const isPermitted = await this.#takePermit();
    if (!isPermitted || context.availability.isPaused(this.#server))
      return this.#actor.send({ type: "status", status: undefined });
    const answer = await orders.fetchStatus(this.#server);
    answer.caseOf({
      Left: () => this.#actor.send({ type: "status", status: undefined }),
      Right: (status) => this.#actor.send({ type: "status", status }),
    });
  }
}
