import { type Millis, millis } from "../../src/core/clock.ts";
import type { EngineTraits } from "../../src/core/gateway/configuration.ts";
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
import { usualLoadUrgency } from "../../src/core/gateway/load_urgency.ts";
import type { EngineOrder } from "../../src/core/gateway/orders.ts";
import {
  type AdapterName,
  brandString,
  formatModelAdapterKey,
  formatModelKey,
  type ModelName,
} from "../../src/core/ids.ts";
import { rankByRendezvous } from "../../src/core/lease/rendezvous.ts";
import {
  describeModels,
  loadTime,
  ModelEngine,
  modelMb,
  nameModel,
} from "./model_engine.ts";

/** Interval of the simulation, in ms. */
const step = 50;
/** Delay until the nodes see what an engine holds, in ms. */
const registrationLag = 1_000;
/** Time that a request runs, in ms. */
const runTime = 1_500;
/** Interval of the calls for one model, in ms. */
const callInterval = 250;
/** Interval of the requests for an adapter at each engine, in ms. */
const adapterInterval = 300;
/** Number of owners that are asked for a model. */
const maxOwners = 3;

/** What happens to the answer of the next order. */
export type OrderFate = "answered" | "lost" | "late";

/** An engine, its controller and what its registration lists. */
type FleetEngine = {
  readonly id: string;
  readonly engine: ModelEngine;
  controller: EngineControllerState;
  registered: ModelName[];
};

/** Engines with several base models, their controllers and the requests of many nodes. */
export class ModelFleet {
  readonly traits: EngineTraits;
  readonly engines: FleetEngine[];
  readonly asked = new Map<ModelName, number>();
  readonly served = new Map<ModelName, number>();
  /** Times of the loads from the weight store. */
  readonly loads: number[] = [];
  now = 0;
  /** Requests per second for each model. */
  rates: readonly number[] = [];
  /** Maximum extra time of a load, as a multiple of its usual time. */
  loadSlowdown = 0;
  refusedOrders = 0;
  chooseFate: () => OrderFate = () => "answered";
  readonly #random: () => number;
  readonly #late: { at: number; member: FleetEngine; order: EngineOrder }[] =
    [];
  readonly #unmet = new Map<ModelName, number>();
  #views: { at: number; held: ModelName[][] }[] = [];

  constructor(options: {
    readonly held: readonly number[];
    readonly models: number;
    /** Number of models that one engine can hold. */
    readonly capacity?: number;
    readonly random: () => number;
  }) {
    this.#random = options.random;
    this.traits = {
      slots: 16,
      cacheTokens: 100_000,
      models: Array.from({ length: options.models }, (_, i) => ({
        name: nameModel(i),
        weightsMb: modelMb,
        adapterMb: 40,
        loadTime: millis(loadTime),
      })),
      weightsMb: modelMb * (options.capacity ?? 1) + 1_100,
      maxAdapters: 10,
      loadsPerSecond: 3.4,
    };
    this.engines = options.held.map((model, i) => {
      const engine = new ModelEngine(this.traits.weightsMb);
      engine.models.add(nameModel(model));
      return {
        id: `e${i}`,
        engine,
        controller: this.#createController([nameModel(model)]),
        registered: [nameModel(model)],
      };
    });
  }

  /** Orders that would have exceeded the memory of an engine. */
  get violations(): number {
    return this.engines.reduce((sum, { engine }) => sum + engine.violations, 0);
  }

  /** Advances by `duration` ms. */
  run(duration: number): void {
    const end = this.now + duration;
    while (this.now < end) {
      this.now += step;
      for (const { engine } of this.engines) engine.advance(this.now);
      this.#carryOutLate();
      this.#register();
      for (const [i, rate] of this.rates.entries()) {
        this.#arrive(nameModel(i), rate);
      }
      if (this.now % callInterval === 0) this.#callOwners();
      if (this.now % adapterInterval === 0) this.#acquireAdapters();
      for (const member of this.engines) this.#tick(member);
    }
  }

  /** Lets an engine return empty, under a new controller. */
  restart(index: number): void {
    const member = this.engines[index] as FleetEngine;
    member.engine.restart();
    member.controller = this.#createController([]);
  }

  /** Share of the requests for a model that were served since the last reset. */
  getShare(index: number): number {
    const name = nameModel(index);
    const asked = this.asked.get(name) ?? 0;
    return asked === 0 ? 1 : (this.served.get(name) ?? 0) / asked;
  }

  resetCounts(): void {
    this.asked.clear();
    this.served.clear();
  }

  /** Number of engines that hold each model. */
  countHolders(): number[] {
    return this.traits.models.map(
      ({ name }) =>
        this.engines.filter(({ engine }) => engine.models.has(name)).length,
    );
  }

  #createController(held: ModelName[]): EngineControllerState {
    return createEngineControllerState({
      traits: this.traits,
      models: describeModels(held),
      policies: { chooseVictim: chooseLeastRecentlyUsed },
      now: millis(this.now),
    });
  }

  #arrive(model: ModelName, rate: number): void {
    if (this.#random() >= (rate * step) / 1_000) return;
    this.asked.set(model, (this.asked.get(model) ?? 0) + 1);
    const usable = this.engines
      .filter(({ registered }) => registered.includes(model))
      .map(({ engine }) => engine)
      .sort((a, b) => a.running.length - b.running.length);
    const target = usable.find(
      ({ models, running }) =>
        models.has(model) && running.length < this.traits.slots,
    );
    if (target === undefined) {
      this.#unmet.set(model, (this.#unmet.get(model) ?? 0) + 1);
      return;
    }
    target.running.push({ model, endsAt: this.now + runTime });
    this.served.set(model, (this.served.get(model) ?? 0) + 1);
  }

  /** Asks owners for the models whose requests could not be served. */
  #callOwners(): void {
    for (const [model, requests] of this.#unmet) {
      this.#unmet.delete(model);
      const others = this.engines.filter(
        ({ registered }) => !registered.includes(model),
      );
      const ranked = rankByRendezvous(
        model,
        others.map(({ id }) => id),
      );
      const isEmpty = (id: string) =>
        others.find((member) => member.id === id)?.registered.length === 0;
      ranked.sort((a, b) => Number(isEmpty(b)) - Number(isEmpty(a)));
      for (const id of ranked.slice(0, maxOwners)) {
        const member = this.engines.find(
          (entry) => entry.id === id,
        ) as FleetEngine;
        const [reply] = this.#send(member, {
          type: "model-wanted",
          ticket: 1,
          model,
          requests,
        }).filter(({ type }) => type === "reply");
        if (reply?.type === "reply" && reply.reply.kind === "ready") break;
      }
    }
  }

  /** Asks each engine for an adapter of a model that it is known to hold. */
  #acquireAdapters(): void {
    this.engines.forEach((member, i) => {
      const [model] = member.registered;
      if (model === undefined) return;
      const number = Math.floor(this.now / adapterInterval) % 5;
      const adapter: AdapterName = brandString(`a${i}-${number}`);
      this.#send(member, {
        type: "acquire",
        ticket: 2,
        key: formatModelAdapterKey(model, adapter),
        model,
        adapter,
        version: 0,
        wasDenied: false,
        patience: 500,
        urgency: usualLoadUrgency,
      });
    });
  }

  #tick(member: FleetEngine): void {
    const { running } = member.engine;
    const ran = running.map(({ model }) => formatModelKey(model));
    this.#send(member, {
      type: "used",
      node: brandString("n1"),
      ran: [...new Set(ran)],
      queuedAdapters: [],
    });
    const holders = new Map<ModelName, number>();
    const reserved = new Set<ModelName>();
    for (const { id, registered } of this.engines) {
      for (const model of registered) {
        if (!holders.has(model) && id === member.id) reserved.add(model);
        holders.set(model, (holders.get(model) ?? 0) + 1);
      }
    }
    const engines = this.engines.length;
    const load = running.length;
    const fleet = { engines, holders, reserved, load };
    this.#send(member, { type: "tick", mayOrder: true, fleet });
  }

  #send(
    member: FleetEngine,
    event: EngineControllerEvent,
  ): readonly EngineControllerCommand[] {
    const now: Millis = millis(this.now);
    const { commands } = decideEngineController(member.controller, event, now);
    for (const command of commands) {
      if (command.type === "order") this.#order(member, command.order);
      if (command.type === "request-status") {
        const status = member.engine.report();
        this.#send(member, { type: "status", status });
      }
    }
    return commands;
  }

  #order(member: FleetEngine, order: EngineOrder): void {
    const fate = this.chooseFate();
    if (fate === "late") {
      const at = this.now + 500 + this.#random() * 3_000;
      this.#late.push({ at, member, order });
      this.#send(member, { type: "answered", order, answer: { kind: "lost" } });
      return;
    }
    const answer = this.#carryOut(member, order);
    if (answer === "conflict") this.refusedOrders++;
    const kind = fate === "lost" ? "lost" : answer;
    const detail = "409";
    this.#send(member, { type: "answered", order, answer: { kind, detail } });
  }

  #carryOut({ engine }: FleetEngine, order: EngineOrder) {
    const extraTime = loadTime * this.#random() * this.loadSlowdown;
    const answer = engine.accept(order, { now: this.now, extraTime });
    const isModelLoad =
      order.operation === "load" && order.adapter === undefined;
    if (isModelLoad && answer === "accepted") this.loads.push(this.now);
    return answer;
  }

  #carryOutLate(): void {
    for (const late of this.#late.splice(0)) {
      if (this.now < late.at) this.#late.push(late);
      else this.#carryOut(late.member, late.order);
    }
  }

  #register(): void {
    const held = this.engines.map(({ engine }) => [...engine.models]);
    this.#views.push({ at: this.now, held });
    while ((this.#views[1]?.at ?? this.now) <= this.now - registrationLag) {
      this.#views.shift();
    }
    this.engines.forEach((member, i) => {
      member.registered = this.#views[0]?.held[i] ?? [];
    });
  }
}
