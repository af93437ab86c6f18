import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { Backend, CrashEnd, Exchange, Serve } from "../rig/backend.ts";
import { type Calm, contactTime } from "./calm.ts";
import { type CrashManner, drawManner } from "./crash_manner.ts";
import type { Violation } from "./observations.ts";
import type { RequestLog } from "./request_log.ts";

const minDownTime = 1_000;
const maxDownTime = 3_000;
/** Sends that may come later than the contact time after the last tolerated crash. */
const maxLateSends = 3;
/** Crashes after which a whole request, or a part of prompts, must be known. */
const crashesOfRequests = 3;
const crashesOfParts = 5;

/** What crashes servers: requests to a path, or prompts that hold a part. */
type Unit = {
  readonly name: string;
  readonly manner: CrashManner;
  readonly toleratedCrashes: number;
  readonly crashes: number[];
  readonly arrivals: { readonly at: number; readonly requestId: string }[];
};

const requestPrefix = "deadly";
const partPrefix = "fatal";

/** Sends the head of a stream at once, with chunks or without. */
function beginAnswer(exchange: Exchange, serve: Serve, isFramed: boolean) {
  exchange.response.useChunkedEncodingByDefault = isFramed;
  serve(exchange);
  exchange.response.flushHeaders();
}

/** Crashes servers that run certain requests, and counts the sends that come later than allowed. */
export class CrashingRequests {
  readonly #units = new Map<string, Unit>();
  readonly #random: () => number;
  readonly #calm: Calm;
  #isOver = false;

  private constructor(random: () => number, calm: Calm) {
    this.#random = random;
    this.#calm = calm;
  }

  static create(random: () => number, calm: Calm): CrashingRequests {
    return new CrashingRequests(random, calm);
  }

  /** Name of a path whose requests crash servers. */
  addRequest(): string {
    return this.#add(requestPrefix, crashesOfRequests);
  }

  /** Name of a part of prompts that crashes servers. */
  addPart(): string {
    return this.#add(partPrefix, crashesOfParts);
  }

  #add(prefix: string, toleratedCrashes: number): string {
    const name = `${prefix}${randomBytes(4).toString("hex")}`;
    const manner = drawManner(this.#random);
    const unit = { name, manner, toleratedCrashes, crashes: [], arrivals: [] };
    this.#units.set(name, unit);
    return name;
  }

  /** Lets a server crash under these requests and serve the others. */
  crashUnder(serve: Serve): Serve {
    return (exchange) => {
      const unit = this.#findUnit(exchange);
      if (unit === undefined) return serve(exchange);
      const { backend, requestId } = exchange;
      unit.arrivals.push({ at: performance.now(), requestId });
      const { delay, end, isFramed } = unit.manner;
      const isStream = exchange.message.url?.startsWith("/stream/") === true;
      if (isStream) beginAnswer(exchange, serve, isFramed);
      setTimeout(() => {
        if (!backend.isRunning || this.#isOver) return;
        unit.crashes.push(performance.now());
        void this.crash(backend, end);
      }, delay);
    };
  }

  #findUnit({ message }: Exchange): Unit | undefined {
    const name = message.url?.split("/")[2] ?? "";
    const prompt = String(message.headers["goldcrestwinch-prompt-prefix"]);
    const parts = prompt.split(",").map((pair) => pair.split(":")[0] ?? "");
    return [name, ...parts]
      .map((unit) => this.#units.get(unit))
      .find((unit) => unit !== undefined);
  }

  /** Crashes a server; it is back after some seconds. */
  async crash(backend: Backend, ending?: CrashEnd): Promise<void> {
    if (!backend.isRunning) return;
    const end = this.#calm.disturb(backend.id);
    backend.crash(ending);
    const down = maxDownTime - minDownTime;
    await sleep(minDownTime + this.#random() * down);
    if (!backend.isRunning && !this.#isOver) await backend.start();
    end();
  }

  /** Parts of prompts that crash servers, with the crashes so far. */
  get parts(): readonly Unit[] {
    return [...this.#units.values()].filter(({ name }) =>
      name.startsWith(partPrefix),
    );
  }

  /** Ends crashes and restarts at the end of a test. */
  close(): void {
    this.#isOver = true;
  }

  /** Sends by machines in touch that came later than allowed. */
  findViolations(log: RequestLog): Violation[] {
    return [...this.#units.values()].flatMap((unit) => {
      const { name, manner, crashes, arrivals, toleratedCrashes } = unit;
      const last = crashes[toleratedCrashes - 1];
      if (last === undefined) return [];
      const late = arrivals.filter(
        ({ at, requestId }) =>
          at > last + contactTime && this.#isInTouch(log, requestId, at),
      );
      if (late.length <= maxLateSends) return [];
      const sends = late.map(({ at, requestId }) => {
        const machine = log.find(requestId)?.machine;
        return `${machine} ${((at - last) / 1_000).toFixed(1)} s`;
      });
      const detail = `${name} ${JSON.stringify(manner)}: ${crashes.length} crashes, ${late.length} sends late: ${sends.join(", ")}`;
      return [{ rule: "sent on though it crashes servers", detail }];
    });
  }

  #isInTouch(log: RequestLog, requestId: string, at: number): boolean {
    const attempt = log.find(requestId);
    if (attempt === undefined) return false;
    return this.#calm.hasLasted([attempt.machine, "store"], at);
  }
}
