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
import {
  type AdapterName,
  brandString,
  formatModelAdapterKey,
  type MachineName,
} from "../../src/core/ids.ts";
import { model, SimulatedEngine, traits } from "./simulated_engine.ts";

const seeds = 400;
const stepMs = 10;
const steps = 3_000;
const node: MachineName = brandString("node-1");
const adapterCount = 12;
/** Calm end of a play, in which new adapters are asked for one after the other. */
const quietSteps = 1_600;
const firstLastStep = 600;
const lastCount = 8;

/** The engine, and how many of the adapters asked for last it got. */
type Played = { readonly engine: SimulatedEngine; readonly served: number };

type Pending = { readonly at: Millis; readonly deliver: () => void };

/** Share of the orders that get no answer; half of those are carried out late or not at all. */
type Losses = { readonly share: number };

/** Owners of one engine, restarted now and then, against the oracle. */
function play(seed: number, losses: Losses): Played {
  const random = createSeededRandom(seed);
  const engine = new SimulatedEngine();
  const pending: Pending[] = [];
  let now = millis(1_000);
  let state = createState(now);
  let ticket = 0;
  let { share } = losses;
  let served = 0;

  function send(event: EngineControllerEvent): void {
    for (const command of decideEngineController(state, event, now).commands) {
      perform(command);
    }
  }
  function later(delay: number, event: EngineControllerEvent): void {
    const owner = state;
    const deliver = () => {
      if (state === owner) send(event);
    };
    pending.push({ at: millis(now + delay), deliver });
  }
  function perform(command: EngineControllerCommand): void {
    if (command.type === "reply") {
      if (lastTickets.has(command.ticket) && command.reply.kind === "ready") {
        served++;
      }
    } else if (command.type === "ask-status") {
      const status = random() < 0.05 ? undefined : engine.report(now);
      later(random() * 60, { type: "status", status });
    } else if (command.type === "order") {
      const { order } = command;
      const loadTime = random() < 0.1 ? 1_500 * random() : 200 + 200 * random();
      if (random() >= share) {
        const answer = engine.order(order, { now, loadTime });
        return later(random() * 40, { type: "answered", order, answer });
      }
      const delay = random() < 0.5 ? 0 : 500 + random() * 4_000;
      pending.push({
        at: millis(now + delay),
        deliver: () => engine.order(order, { now, loadTime }),
      });
      later(250, { type: "answered", order, answer: { kind: "lost" } });
    }
  }

  const lastTickets = new Set<number>();
  engine.advance(now);
  for (let step = 0; step < steps + quietSteps; step++) {
    now = millis(now + stepMs);
    engine.advance(now);
    for (const { at, deliver } of pending.splice(0)) {
      if (at <= now) deliver();
      else pending.push({ at, deliver });
    }
    if (step === steps) share = 0;
    if (step >= steps) {
      const at = step - steps - firstLastStep;
      if (at >= 0 && at % 100 === 0 && lastTickets.size < lastCount) {
        ticket++;
        // At the first request the owner may find out what was carried out late.
        if (at > 0) lastTickets.add(ticket);
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
        });
      }
    }
    if (step % 5 === 0) send({ type: "tick", mayOrder: true });
  }
  return { engine, served };

  function acquireNew(name: string, ticket: number): void {
    const adapter = brandString<AdapterName>(name);
    const key = formatModelAdapterKey(model, adapter);
    const patience = 1_000;
    const wanted = { key, model, adapter, version: 0, wasDenied: false };
    send({ type: "acquire", ticket, ...wanted, patience });
  }
}

function createState(now: Millis): EngineControllerState {
  const models = [{ name: model, version: 1, adapters: [] }];
  const policies = { chooseVictim: chooseLeastRecentlyUsed };
  return createEngineControllerState({ traits, models, policies, now });
}

for (const share of [0.03, 0.4]) {
  // Guards against a miscounted place, with which an engine crashes, and
  // against places that stay reserved for orders which never took effect.
  test(`places are neither exceeded nor lost with ${share} of the answers lost`, () => {
    for (let seed = 1; seed <= seeds; seed++) {
      const { engine, served } = play(seed, { share });
      const { maxSlotsTaken: mostPlaces, orderCount } = engine;
      assert.ok(orderCount > 20, `seed ${seed} gave only ${orderCount} orders`);
      assert.ok(
        mostPlaces <= traits.maxAdapters,
        `seed ${seed} took ${mostPlaces} places`,
      );
      assert.equal(served, lastCount, `seed ${seed}`);
    }
  });
}
