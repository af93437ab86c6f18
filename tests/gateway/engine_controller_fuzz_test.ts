import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
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
import { usualLoadUrgency } from "../../src/core/gateway/load_urgency.ts";
import {
  type AdapterName,
  brandString,
  formatModelAdapterKey,
  type MachineName,
} from "../../src/core/ids.ts";
import { fleet } from "./engine_controller_fixture.ts";
import { model, SimulatedEngine, traits } from "./simulated_engine.ts";

const seeds = 400;
const stepMs = 10;
const steps = 3_000;
const node: MachineName = brandString("node-1");
const adapterCount = 12;
/** Steps of the final phase without options, in which new adapters are requested one after the other. */
const finalSteps = 1_600;
const firstFinalStep = 600;
const finalCount = 8;

/** The engine, and the number of adapters of the final phase that were promised. */
type SimulationResult = {
  readonly engine: SimulatedEngine;
  readonly served: number;
};

type Pending = { readonly at: Millis; readonly deliver: () => void };

/** Share of the orders that get no answer; half of those arrive late or have no effect. */
type LossOptions = { readonly share: number };

/** Runs controllers of one engine, with random restarts, against the simulated engine. */
function simulate(seed: number, options: LossOptions): SimulationResult {
  const random = createSeededRandom(seed);
  const engine = new SimulatedEngine();
  const pending: Pending[] = [];
  let now = millis(1_000);
  let state = createState(now);
  let ticket = 0;
  let { share } = options;
  let served = 0;

  function send(event: EngineControllerEvent): void {
    for (const command of decideEngineController(state, event, now).commands) {
      perform(command);
    }
  }
  function schedule(delay: number, event: EngineControllerEvent): void {
    const scheduledState = state;
    const deliver = () => {
      if (state === scheduledState) send(event);
    };
    pending.push({ at: millis(now + delay), deliver });
  }
  function perform(command: EngineControllerCommand): void {
    if (command.type === "reply") {
      if (finalTickets.has(command.ticket) && command.reply.kind === "ready") {
        served++;
      }
    } else if (command.type === "request-status") {
      const status = random() < 0.05 ? undefined : engine.report(now);
      schedule(random() * 60, { type: "status", status });
    } else if (command.type === "order") {
      const { order } = command;
      const loadTime = random() < 0.1 ? 1_500 * random() : 200 + 200 * random();
      if (random() >= share) {
        const answer = engine.order(order, { now, loadTime });
        return schedule(random() * 40, { type: "answered", order, answer });
      }
      const delay = random() < 0.5 ? 0 : 500 + random() * 4_000;
      pending.push({
        at: millis(now + delay),
        deliver: () => engine.order(order, { now, loadTime }),
      });
      schedule(250, { type: "answered", order, answer: { kind: "lost" } });
    }
  }

  const finalTickets = new Set<number>();
  engine.advance(now);
  for (let step = 0; step < steps + finalSteps; step++) {
    now = millis(now + stepMs);
    engine.advance(now);
    for (const { at, deliver } of pending.splice(0)) {
      if (at <= now) deliver();
      else pending.push({ at, deliver });
    }
    if (step === steps) share = 0;
    if (step >= steps) {
      const at = step - steps - firstFinalStep;
      if (at >= 0 && at % 100 === 0 && finalTickets.size < finalCount) {
        ticket++;
        // At the first request the controller may still find orders that were carried out late.
        if (at > 0) finalTickets.add(ticket);
        acquireNew(`last${at}`, ticket);
      }
    } else if (random() < 0.002) {
      state = createState(now);
    } else if (random() < 0.08) {
      const number = Math.floor(random() ** 2 * adapterCount);
      const adapter = brandString<AdapterName>(`a${number}`);
      const key = formatModelAdapterKey(model, adapter);
      if (engine.held.has(adapter) && random() < 0.5) {
        engine.running.set(adapter, millis(now + random() * 1_500));
        send({ type: "used", node, ran: [key], queuedAdapters: [] });
      } else {
        const wasDenied = random() < 0.2;
        ticket++;
        const version = 0;
        send({
          type: "acquire",
          ticket,
          key,
          model,
          adapter,
          version,
          wasDenied,
          patience: random() * 500,
          urgency: { level: ticket % 10, delay: (ticket % 7) * 100 - 300 },
        });
      }
    }
    if (step % 5 === 0) send({ type: "tick", mayOrder: true, fleet });
  }
  return { engine, served };

  function acquireNew(name: string, ticket: number): void {
    const adapter = brandString<AdapterName>(name);
    const key = formatModelAdapterKey(model, adapter);
    const patience = 1_000;
    const wanted = { key, model, adapter, version: 0, wasDenied: false };
    const urgency = usualLoadUrgency;
    send({ type: "acquire", ticket, ...wanted, patience, urgency });
  }
}

function createState(now: Millis): EngineControllerState {
  const models = [{ name: model, version: 1, adapters: [] }];
  const policies = { chooseVictim: chooseLeastRecentlyUsed };
  return createEngineControllerState({ traits, models, policies, now });
}

for (const share of [0.03, 0.4]) {
  // Guards against exceeding the slots, which crashes an engine, and against
  // slots that stay reserved for orders that never took effect.
  test(`slots are neither exceeded nor lost with ${share} of the answers lost`, () => {
    for (let seed = 1; seed <= seeds; seed++) {
      const { engine, served } = simulate(seed, { share });
      const { maxSlotsTaken, orderCount } = engine;
      assert.ok(
        orderCount > 20,
        `seed ${seed} produced only ${orderCount} orders`,
      );
      assert.ok(
        maxSlotsTaken <= traits.maxAdapters,
        `seed ${seed} took ${maxSlotsTaken} slots`,
      );
      assert.equal(served, finalCount, `seed ${seed}`);
    }
  });
}
