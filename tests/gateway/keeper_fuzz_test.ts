import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { type Millis, millis } from "../../src/core/clock.ts";
import { chooseLeastRecent } from "../../src/core/gateway/engine_places.ts";
import {
  createKeeperState,
  decideKeeper,
} from "../../src/core/gateway/keeper.ts";
import type {
  KeeperCommand,
  KeeperEvent,
  KeeperState,
} from "../../src/core/gateway/keeper_messages.ts";
import {
  type AdapterName,
  brandString,
  formatPlaceKey,
} from "../../src/core/ids.ts";
import { EngineOracle, model, traits } from "./engine_oracle.ts";

const seeds = 60;
const stepMs = 10;
const steps = 3_000;
const adapterCount = 12;

type Pending = { readonly at: Millis; readonly deliver: () => void };

/** Owners of one engine, restarted now and then, against the oracle. */
function play(seed: number): EngineOracle {
  const random = createSeededRandom(seed);
  const engine = new EngineOracle();
  const pending: Pending[] = [];
  let now = millis(1_000);
  let state = createState(now);
  let ticket = 0;

  function send(event: KeeperEvent): void {
    for (const command of decideKeeper(state, event, now).commands) {
      perform(command);
    }
  }
  function later(delay: number, event: KeeperEvent): void {
    const owner = state;
    const deliver = () => {
      if (state === owner) send(event);
    };
    pending.push({ at: millis(now + delay), deliver });
  }
  function perform(command: KeeperCommand): void {
    if (command.type === "ask-status") {
      const status = random() < 0.05 ? undefined : engine.report(now);
      later(random() * 60, { type: "status", status });
    } else if (command.type === "order") {
      const { order } = command;
      const loadTime = random() < 0.1 ? 1_500 * random() : 200 + 200 * random();
      const isLost = random() < 0.03;
      const answer = engine.order(order, { now, loadTime });
      later(random() * 40, {
        type: "answered",
        order,
        answer: isLost ? { kind: "lost" } : answer,
      });
    }
  }

  engine.advance(now);
  for (let step = 0; step < steps; step++) {
    now = millis(now + stepMs);
    engine.advance(now);
    for (const { at, deliver } of pending.splice(0)) {
      if (at <= now) deliver();
      else pending.push({ at, deliver });
    }
    if (random() < 0.002) state = createState(now);
    if (random() < 0.08) {
      const number = Math.floor(random() ** 2 * adapterCount);
      const adapter = brandString<AdapterName>(`a${number}`);
      const key = formatPlaceKey(model, adapter);
      if (engine.held.has(adapter) && random() < 0.5) {
        engine.running.set(adapter, millis(now + random() * 1_500));
        send({ type: "used", ran: [key], awaited: [] });
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
  return engine;
}

function createState(now: Millis): KeeperState {
  const models = [{ name: model, version: 1, adapters: [] }];
  const policies = { chooseVictim: chooseLeastRecent };
  return createKeeperState({ traits, models, policies, now });
}

// Guards against a miscounted place: an engine ordered above its places crashes.
test("no engine is ever ordered above its places", () => {
  for (let seed = 1; seed <= seeds; seed++) {
    const { mostPlaces, orderCount } = play(seed);
    assert.ok(orderCount > 20, `seed ${seed} gave only ${orderCount} orders`);
    assert.ok(
      mostPlaces <= traits.adapterPlaces,
      `seed ${seed} took ${mostPlaces} places`,
    );
  }
});
