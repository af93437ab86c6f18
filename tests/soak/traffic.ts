import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Call,
  type CallEnd,
  createRequestId,
  describePrompt,
  sendCall,
} from "../rig/caller.ts";
import { sendAtRate } from "../rig/callers.ts";
import type { Machine } from "../rig/machine.ts";
import type { CallerKeys } from "./caller_keys.ts";
import type { Observations } from "./observations.ts";
import type { Attempt, RequestLog } from "./request_log.ts";

/** Requests a second of each kind. */
const lookupRate = 25;
const bookingRate = 12;
const usualStreamRate = 6;
/** Events of a stream. */
export const eventCount = 40;
/** Numbers of different lookups, of sessions, and of first parts that many sessions share. */
const lookupCount = 24;
const sessionCount = 24;
const beginningCount = 3;
/** Longest time that callers wait, in ms. */
const serviceDeadline = 3_000;
const streamDeadline = 10_000;
/** Longest `Retry-After` that callers wait for, in ms. */
const maxReturnDelay = streamDeadline / 3;
/** Largest body of a booking and of a prompt, in bytes. */
const maxBookingBytes = 3_600;
const maxPromptBytes = 110_000;
/** Attempts of a caller to take up a stream that broke off, and the delay before each without `Retry-After`, in ms. */
const maxResumptions = 4;
const resumptionDelay = 200;

export type TrafficOptions = {
  readonly machines: readonly Machine[];
  readonly observations: Observations;
  readonly requests: RequestLog;
  /** Undefined if the machines know no keys. */
  readonly keys: CallerKeys | undefined;
  readonly random: () => number;
  /** Called when a caller sends a request to a service. */
  readonly onRequest: (service: string, at: number) => void;
  /** Streams a second; some without. */
  readonly streamRate?: number | undefined;
};

/** What tells a stream from others. */
type Prompt = {
  /** Name of the stream in its path. */
  readonly stream: string;
  /** Shared parts of its prompt. */
  readonly parts: readonly string[];
  /** Whether engines crash under it. */
  readonly isCrashing: boolean;
};

/** Callers that send lookups, bookings on kept connections and streams that they take up when they break off. */
export class Traffic {
  readonly #options: TrafficOptions;
  readonly #open = new Set<Promise<unknown>>();
  readonly #agents: Agent[];
  #isSending = true;
  #streams = 0;
  readonly #loops: Promise<void>[];

  private constructor(options: TrafficOptions) {
    this.#options = options;
    this.#agents = options.machines.map(() => new Agent({ keepAlive: true }));
    this.#loops = [
      this.#repeat(lookupRate, () => this.#look()),
      this.#repeat(bookingRate, () => this.#book()),
      this.#repeat(options.streamRate ?? usualStreamRate, () => this.#stream()),
    ];
  }

  static start(options: TrafficOptions): Traffic {
    return new Traffic(options);
  }

  /** Stops sending and waits for all answers. */
  async stop(): Promise<void> {
    this.#isSending = false;
    await Promise.all(this.#loops);
    await Promise.all(this.#open);
    for (const agent of this.#agents) agent.destroy();
  }

  /** Sends requests at a rate until the traffic stops. */
  #repeat(rate: number, send: () => Promise<unknown>): Promise<void> {
    return sendAtRate(rate, () => {
      if (!this.#isSending) return false;
      const call = send().finally(() => this.#open.delete(call));
      this.#open.add(call);
      return true;
    });
  }

  #choose(): number {
    const { machines, random } = this.#options;
    return Math.floor(random() * machines.length);
  }

  #portOf(machine: number): number {
    return (this.#options.machines[machine] as Machine).front;
  }

  #draw(count: number): number {
    return Math.floor(this.#options.random() * count);
  }

  #drawBody(maxBytes: number): string {
    return "x".repeat(this.#draw(maxBytes));
  }

  async #look(): Promise<void> {
    await this.sendLookup(String(this.#draw(lookupCount)));
  }

  /** Sends a lookup to any machine; every second one on a kept connection. */
  async sendLookup(subject: string, isCrashing = false): Promise<void> {
    const { observations } = this.#options;
    const machine = this.#choose();
    const isKept = this.#draw(2) === 0;
    const end = await this.#send(
      { machine, kind: "lookup", subject, maxAttempts: 3, isCrashing },
      {
        path: `/lookup/${subject}`,
        deadline: serviceDeadline,
        ...(isKept && { agent: this.#agents[machine] as Agent }),
      },
    );
    observations.recordAnswer("lookup", end);
  }

  async #book(): Promise<void> {
    const { observations } = this.#options;
    const machine = this.#choose();
    const agent = this.#agents[machine] as Agent;
    const end = await this.#send(
      {
        ...{ machine, kind: "booking", subject: "1" },
        ...{ maxAttempts: 1, isCrashing: false },
      },
      {
        path: "/book/1",
        body: this.#drawBody(maxBookingBytes),
        deadline: serviceDeadline,
        agent,
      },
    );
    observations.recordAnswer("booking", end);
    observations.recordOnce(end);
  }

  /** Sends a request to a machine and records how it ends. */
  async #send(
    request: Omit<Attempt, "machine" | "requestId" | "sentAt" | "deadline"> & {
      readonly machine: number;
    },
    call: Omit<Call, "port"> & { readonly deadline: number },
  ): Promise<CallEnd> {
    const { requests, keys, onRequest, machines } = this.#options;
    const { machine, kind } = request;
    const requestId = createRequestId();
    const sentAt = performance.now();
    onRequest(kind === "stream" ? "engines" : "booking", sentAt);
    requests.recordAttempt({
      ...request,
      requestId,
      machine: (machines[machine] as Machine).name,
      sentAt,
      deadline: call.deadline,
    });
    const port = this.#portOf(machine);
    const headers = { ...call.headers, ...keys?.sign(requestId) };
    const end = await sendCall({ ...call, headers, port, requestId });
    requests.recordEnd(end);
    keys?.recordEnd(end);
    return end;
  }

  async #stream(): Promise<void> {
    this.#streams++;
    await this.sendStream(`s${this.#streams}`, this.drawParts());
  }

  /** Shared parts of a prompt: what many sessions begin with, and what belongs to one. */
  drawParts(): readonly string[] {
    const session = this.#draw(sessionCount);
    return [`bb${session % beginningCount}`, `aa${session}`];
  }

  /** Sends a stream that crashes the engine which runs it, once. */
  async sendCrashingStream(
    stream: string,
    parts: readonly string[],
  ): Promise<void> {
    await this.#sendStream({ stream, parts, isCrashing: true }, {});
  }

  /** Sends a stream with these shared parts in its prompt, and takes it up when it breaks off. */
  async sendStream(stream: string, parts: readonly string[]): Promise<void> {
    const { observations } = this.#options;
    const prompt = { stream, parts, isCrashing: false };
    const first = await this.#attempt(prompt, {});
    observations.recordAnswer("stream", first);
    if (first.status !== 200 || first.isWhole) return;
    for (let at = 0; at < maxResumptions; at++) {
      const events = observations.countEvents(stream);
      if (events === 0 || events >= eventCount) return;
      await sleep(resumptionDelay);
      const end = await this.#attempt(prompt, {
        resumes: first.requestId,
        "last-event-id": String(events),
      });
      observations.recordAnswer("take-up", end);
      if (end.isWhole && end.status === 200) return;
      const delay = (end.retryAfter ?? 0) * 1_000;
      if (delay > maxReturnDelay) return;
      await sleep(delay);
    }
  }

  async #attempt(
    prompt: Prompt,
    headers: Record<string, string>,
  ): Promise<CallEnd> {
    const { observations } = this.#options;
    const end = await this.#sendStream(prompt, headers);
    const isWhole = end.isWhole && end.status === 200;
    observations.recordStream(prompt.stream, end.text, {
      isWhole,
      count: eventCount,
    });
    return end;
  }

  #sendStream(
    prompt: Prompt,
    headers: Record<string, string>,
  ): Promise<CallEnd> {
    const { stream, parts, isCrashing } = prompt;
    const machine = this.#choose();
    const isKept = this.#draw(2) === 0;
    return this.#send(
      {
        ...{ machine, kind: "stream", subject: parts.join(" ") },
        ...{ maxAttempts: 2, isCrashing, parts },
        isTakeUp: headers.resumes !== undefined,
      },
      {
        path: `/stream/${stream}`,
        deadline: streamDeadline,
        body: isCrashing ? "" : this.#drawBody(maxPromptBytes),
        headers: { ...describePrompt("m0", parts), ...headers },
        ...(isKept && { agent: this.#agents[machine] as Agent }),
      },
    );
  }
}
