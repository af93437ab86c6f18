import assert from "node:assert/strict";
import { type Millis, millis } from "../../src/core/clock.ts";
import { chooseLeastRecentlyUsed } from "../../src/core/gateway/engine_contents.ts";
import {
  createEngineControllerState,
  decideEngineController,
} from "../../src/core/gateway/engine_controller.ts";
import type {
  EngineControllerCommand,
  EngineControllerEvent,
  EngineControllerState,
} from "../../src/core/gateway/engine_controller_messages.ts";
import {
  type LoadUrgency,
  usualLoadUrgency,
} from "../../src/core/gateway/load_urgency.ts";
import type { FleetView } from "../../src/core/gateway/model_placement.ts";
import type {
  EngineOrder,
  OrderAnswer,
} from "../../src/core/gateway/orders.ts";
import type { HeldModel } from "../../src/core/gateway/servers.ts";
import {
  type AdapterName,
  brandString,
  formatModelAdapterKey,
  type MachineName,
} from "../../src/core/ids.ts";
import { model, traits } from "./simulated_engine.ts";

/** Creates the models that an engine with these adapters reports. */
export function createModels(...names: string[]): HeldModel[] {
  const adapters = names.map((name) => ({
    name: brandString<AdapterName>(name),
    version: 1,
  }));
  return [{ name: model, version: 1, adapters }];
}

/** A fleet in which no other engine holds the model. */
export const fleet: FleetView = {
  engines: 1,
  holders: new Map([[model, 1]]),
  reserved: new Set([model]),
  load: 0,
};

/** Drives the decisions of one engine controller with a clock of its own. */
export class ControllerFixture {
  readonly state: EngineControllerState;
  readonly commands: EngineControllerCommand[] = [];
  now: Millis = millis(10_000);
  #tickets = 0;

  constructor(models: HeldModel[], orderCount = 0) {
    const policies = { chooseVictim: chooseLeastRecentlyUsed };
    this.state = createEngineControllerState({
      traits,
      models,
      policies,
      now: this.now,
    });
    this.send({ type: "tick", mayOrder: true, fleet });
    for (let reports = 0; reports < 2; reports++) {
      this.report(models, orderCount);
      this.wait(300);
    }
  }

  send(event: EngineControllerEvent): void {
    this.commands.push(
      ...decideEngineController(this.state, event, this.now).commands,
    );
  }

  wait(ms: number): void {
    this.now = millis(this.now + ms);
    this.send({ type: "tick", mayOrder: true, fleet });
  }

  report(models: HeldModel[], orderCount: number, incoming: string[] = []) {
    const status = {
      models,
      orderCount,
      busy: false,
      incoming: incoming.map((name) => ({
        model,
        adapter: brandString<AdapterName>(name),
        version: 1,
      })),
    };
    this.send({ type: "status", status });
  }

  acquire(
    name: string,
    options: {
      version?: number;
      denied?: boolean;
      patience?: number;
      urgency?: LoadUrgency;
    } = {},
  ) {
    const adapter = brandString<AdapterName>(name);
    this.send({
      type: "acquire",
      ticket: ++this.#tickets,
      key: formatModelAdapterKey(model, adapter),
      model,
      adapter,
      version: options.version ?? 0,
      wasDenied: options.denied ?? false,
      patience: options.patience ?? 1_000,
      urgency: options.urgency ?? usualLoadUrgency,
    });
    return this.#tickets;
  }

  use(...names: string[]): void {
    this.useAt("node-1", ...names);
  }

  /** Sends a node's report of the adapters that its requests run on. */
  useAt(machine: string, ...names: string[]): void {
    const node = brandString<MachineName>(machine);
    const ran = names.map((name) =>
      formatModelAdapterKey(model, brandString(name)),
    );
    this.send({ type: "used", node, ran, queuedAdapters: [] });
  }

  /** Takes the next order that the controller sent, if any. */
  takeNextOrder(): EngineOrder | undefined {
    const at = this.commands.findIndex(({ type }) => type === "order");
    const [command] = at < 0 ? [] : this.commands.splice(at, 1);
    return command?.type === "order" ? command.order : undefined;
  }

  answer(order: EngineOrder | undefined, answer: OrderAnswer): void {
    assert.ok(order);
    this.send({ type: "answered", order, answer });
  }

  replies(ticket: number) {
    return this.commands.flatMap((command) =>
      command.type === "reply" && command.ticket === ticket
        ? [command.reply]
        : [],
    );
  }

  get size(): number {
    return this.state.contents.adapterSlots.size;
  }
}

/** Formats an order as its operation and adapter or model. */
export function describe(order: EngineOrder | undefined): string | undefined {
  return order && `${order.operation} ${order.adapter ?? order.model}`;
}

/** Models of a full engine. */
export const fullEngineModels = createModels("a1", "a2", "a3", "a4");

/** Creates a controller of a full engine that has to evict a1 for a5. */
export function createFullEngineFixture(orderCount: number): ControllerFixture {
  const fixture = new ControllerFixture(fullEngineModels, orderCount);
  fixture.use("a2", "a3", "a4");
  fixture.wait(600);
  fixture.use("a2", "a3", "a4");
  fixture.acquire("a5");
  return fixture;
}
