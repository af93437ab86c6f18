import type { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import type { EngineBacklog } from "../../src/core/gateway/engine_backlog.ts";
import type { BackendServer } from "../../src/core/gateway/servers.ts";
import { createServer } from "./paced_servers.ts";

/** Prompt tokens that an engine of speed 1 reads per ms, and its time per step in an idle batch, in ms. */
const tokensPerMs = 40;
const stepTime = 4;
/** Answer tokens of a request. */
export const answerTokens = 64;
/** Prompt tokens of most requests. */
export const shortPrompt = 650;

/** Engine of some speed, whose batch slows its requests down. */
export class Engine {
  readonly server: BackendServer;
  speed: number;
  /** Time for which slots were taken, in ms. */
  busy = 0;
  running = 0;
  readonly #clock: VirtualClock;
  readonly #queue: (() => void)[] = [];
  #promptsUntil = 0;

  private constructor(
    clock: VirtualClock,
    server: BackendServer,
    speed: number,
  ) {
    this.#clock = clock;
    this.server = server;
    this.speed = speed;
  }

  static create(
    clock: VirtualClock,
    {
      id,
      speed,
      ...options
    }: { id: string; speed: number; slots: number; dataCentre: string },
  ): Engine {
    return new Engine(clock, createServer(id, options), speed);
  }

  get backlog(): EngineBacklog {
    const requests = this.#queue.length;
    return { requests, tokens: requests * shortPrompt, running: this.running };
  }

  run(promptTokens: number, onFirst: () => void, onEnd: () => void): void {
    const start = () => this.#start(promptTokens, onFirst, onEnd);
    if (this.running < this.server.slots) start();
    else this.#queue.push(start);
  }

  #start(promptTokens: number, onFirst: () => void, onEnd: () => void): void {
    this.running++;
    const now = this.#clock.now();
    const crowding = 1 + this.running / this.server.slots;
    const step = (stepTime * crowding) / this.speed;
    const prompt = (promptTokens / tokensPerMs / this.speed) * crowding;
    this.#promptsUntil = Math.max(now, this.#promptsUntil) + prompt;
    const first = this.#promptsUntil + step - now;
    const runTime = answerTokens * step;
    this.#clock.schedule(millis(first), onFirst);
    this.#clock.schedule(millis(first + runTime), () => {
      this.running--;
      this.busy += first + runTime;
      onEnd();
      this.#queue.shift()?.();
    });
  }
}
