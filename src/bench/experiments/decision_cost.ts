import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { type Millis, millis } from "../../core/clock.ts";
import {
  createEngineDecision,
  createEngineState,
  defaultEnginePolicies,
  type EngineCommand,
  type EngineEvent,
  type WorkItem,
} from "../../core/engine/mod.ts";
import { type AdapterKey, brandNumber, brandString } from "../../core/ids.ts";
import type { Experiment, Figures } from "../experiment.ts";
import { createRandom, createZipf } from "../random.ts";
import { typicalEngineLimits } from "../simulation.ts";
import { createAdapterKey } from "../workload.ts";

/** Number of adapters of the installation: today and in two years. */
const variants: Record<string, number> = {
  "3000 adapters": 3_000,
  "170000 adapters": 170_000,
};

const REQUESTS = 100_000;
const WARM_UP = 20_000;

/** Time between requests in ms, near the capacity of one engine. */
const ARRIVAL_INTERVAL = 50;

/** Time for which a request runs on the engine, in ms. */
const SERVICE_TIME = 600;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Decision state of one engine owner, with an engine that completes every order after a fixed time. */
class InstantEngine {
  readonly state = createEngineState({
    engine: brandString("engine"),
    limits: typicalEngineLimits,
  });
  readonly #decide;
  readonly #pendingEvents: { at: number; event: EngineEvent }[] = [];
  #timerAt = Number.POSITIVE_INFINITY;
  now: Millis = millis(0);
  decisions = 0;

  constructor(random: () => number) {
    this.#decide = createEngineDecision(defaultEnginePolicies, random);
  }

  send(event: EngineEvent): void {
    this.decisions++;
    const { commands } = this.#decide(this.state, event, this.now);
    for (const command of commands) this.#execute(command);
  }

  advance(to: number): void {
    for (;;) {
      const [next] = this.#pendingEvents;
      const at = Math.min(next?.at ?? Number.POSITIVE_INFINITY, this.#timerAt);
      if (at > to) break;
      this.now = millis(Math.max(this.now, at));
      if (next !== undefined && next.at === at) {
        this.#pendingEvents.shift();
        this.send(next.event);
      } else {
        this.#timerAt = Number.POSITIVE_INFINITY;
        this.send({ type: "wake" });
      }
    }
    this.now = millis(to);
  }

  #schedule(delay: number, event: EngineEvent): void {
    const at = this.now + delay;
    let index = this.#pendingEvents.length;
    while (index > 0 && (this.#pendingEvents[index - 1]?.at ?? 0) > at) index--;
    this.#pendingEvents.splice(index, 0, { at, event });
  }

  #execute(command: EngineCommand): void {
    switch (command.type) {
      case "dispatch": {
        const { requestId } = command.work;
        this.#schedule(20, { type: "first-token", requestId });
        const tokens = command.work.expectedTokens;
        this.#schedule(SERVICE_TIME, { type: "finished", requestId, tokens });
        break;
      }
      case "load":
        this.#schedule(250, {
          type: "load-finished",
          adapter: command.adapter,
        });
        break;
      case "unload":
        this.#schedule(1, {
          type: "unload-finished",
          adapter: command.adapter,
        });
        break;
      case "request-permit":
        this.#schedule(100, { type: "permit-granted" });
        break;
      case "request-report":
        this.#schedule(1, { type: "report", status: this.#createReport() });
        break;
      case "set-timer":
        this.#timerAt = command.at;
    }
  }

  #createReport() {
    const loaded: AdapterKey[] = [];
    for (const { adapter, phase } of this.state.slots.values()) {
      if (phase === "loaded") loaded.push(adapter);
    }
    const running = [...this.state.running.keys()];
    return { boot: "boot", loaded, running, waiting: 0, leaving: false };
  }
}

async function run(variant: string, seed: number): Promise<Figures> {
  const random = createRandom(seed);
  const count = variants[variant] as number;
  const drawRank = createZipf({ count, exponent: 1.6 }, random);
  const engine = new InstantEngine(random);
  engine.send({
    type: "ownership",
    fence: brandNumber(1),
    orderUntil: millis(1e12),
    dispatchUntil: millis(1e12),
    settledAt: millis(0),
  });
  const workItems = Array.from({ length: REQUESTS }, (_, index) =>
    createWorkItem(index, createAdapterKey(drawRank())),
  );
  const replay = (from: number, to: number): void => {
    for (const work of workItems.slice(from, to)) {
      engine.advance(work.arrivedAt);
      engine.send({ type: "submit", work });
    }
  };
  replay(0, WARM_UP);
  collectGarbage();
  const heapBefore = process.memoryUsage().heapUsed;
  const decisionsBefore = engine.decisions;
  const start = process.cpuUsage();
  replay(WARM_UP, REQUESTS);
  const { user, system } = process.cpuUsage(start);
  collectGarbage();
  const heapAfter = process.memoryUsage().heapUsed;
  const measured = REQUESTS - WARM_UP;
  return {
    "microseconds per request": (user + system) / measured,
    "decisions per request": (engine.decisions - decisionsBefore) / measured,
    "retained bytes per request": (heapAfter - heapBefore) / measured,
    "state entries":
      engine.state.slots.size +
      engine.state.queue.byId.size +
      engine.state.running.size +
      engine.state.backoffs.size +
      engine.state.unconfirmed.size,
  };
}

function createWorkItem(index: number, adapter: AdapterKey): WorkItem {
  const at = index * ARRIVAL_INTERVAL;
  return {
    requestId: brandString(`request-${index}`),
    adapter,
    customer: brandString("customer"),
    priority: "normal",
    expectedTokens: 100,
    arrivedAt: millis(at),
    deadlineAt: millis(at + 8_000),
    digest: brandString("digest"),
    prefix: brandString("prefix"),
    resumeAt: 0,
    isolated: false,
  };
}

export const experiment: Experiment = {
  name: "decision_cost",
  summary: "Cost of the decisions of one engine owner per request",
  variants: Object.keys(variants),
  run,
  comparisons: [
    {
      figure: "microseconds per request",
      variant: "170000 adapters",
      baseline: "3000 adapters",
    },
  ],
};
