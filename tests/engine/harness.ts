import { type Millis, millis } from "../../src/core/clock.ts";
import type {
  EngineCommand,
  EngineEvent,
  EngineLimits,
  EnginePolicies,
  EngineState,
  StreamFailureKind,
  WorkItem,
} from "../../src/core/engine/mod.ts";
import {
  createEngineDecision,
  createEngineState,
  defaultEnginePolicies,
} from "../../src/core/engine/mod.ts";
import {
  type AdapterKey,
  brandNumber,
  brandString,
  type RequestId,
} from "../../src/core/ids.ts";

/** Work fields that a test sets; the others have defaults. */
export type WorkFields = { adapter: string } & Partial<
  Omit<WorkItem, "requestId" | "adapter">
>;

/** Lease of an owner; times are in ms from now. */
export type LeaseOptions = {
  fence?: number;
  lease?: number;
  dispatch?: number;
  settled?: number;
};

/** Drives the decision function of one engine owner and records its commands. */
export class OwnerHarness {
  readonly state: EngineState;
  readonly commands: EngineCommand[] = [];
  now: Millis = millis(0);
  boot = "boot-1";
  #decide: ReturnType<typeof createEngineDecision>;
  #timerAt: Millis | undefined;
  #loaded = new Set<AdapterKey>();

  private constructor(limits: EngineLimits, policies: EnginePolicies) {
    this.state = createEngineState({
      engine: brandString("engine-1"),
      limits,
    });
    this.#decide = createEngineDecision(policies, () => 0.5);
  }

  static create(
    limits: Partial<EngineLimits> = {},
    policies: EnginePolicies = defaultEnginePolicies,
  ): OwnerHarness {
    const defaults = { slots: 4, batch: 8, queue: 100 } as const;
    return new OwnerHarness(
      { ...defaults, fencing: "checked", ...limits },
      policies,
    );
  }

  send(event: EngineEvent): readonly EngineCommand[] {
    const { commands } = this.#decide(this.state, event, this.now);
    this.commands.push(...commands);
    for (const command of commands) {
      if (command.type === "set-timer") this.#timerAt = command.at;
    }
    return commands;
  }

  /** Advances the time and sends the wake events that fall due. */
  advance(duration: number): void {
    const end = this.now + duration;
    while (this.#timerAt !== undefined && this.#timerAt <= end) {
      this.now = millis(Math.max(this.now, this.#timerAt));
      this.#timerAt = undefined;
      this.send({ type: "wake" });
    }
    this.now = millis(end);
  }

  /** Grants or renews a lease; times count from now. */
  lease(options: LeaseOptions = {}): void {
    const { fence = 1, lease = 1e9, dispatch = lease, settled = 0 } = options;
    this.send({
      type: "ownership",
      fence: brandNumber(fence),
      orderUntil: millis(this.now + lease),
      dispatchUntil: millis(this.now + dispatch),
      settledAt: millis(this.now + settled),
    });
  }

  /** Grants a lease and answers the first report request. */
  own(options: LeaseOptions & { running?: string[] } = {}): void {
    this.lease(options);
    this.report({ running: options.running ?? [] });
  }

  report(options: { running?: string[]; leaving?: boolean } = {}): void {
    this.send({
      type: "report",
      status: {
        boot: this.boot,
        loaded: [...this.#loaded],
        running: (options.running ?? []).map((id) =>
          brandString<RequestId>(id),
        ),
        waiting: 0,
        leaving: options.leaving ?? false,
      },
    });
  }

  submit(requestId: string, fields: WorkFields): void {
    this.send({
      type: "submit",
      work: createWork(requestId, this.now, fields),
    });
  }

  /** Loads an adapter through a request that finishes, and confirms the fencing number. */
  load(adapter: string): void {
    const requestId = `load-${adapter}`;
    this.submit(requestId, { adapter });
    this.send({ type: "permit-granted" });
    this.loaded(adapter);
    this.finish(requestId);
    this.advance(3_000);
    this.report();
    this.advance(3_000);
    this.report();
  }

  loaded(adapter: string): void {
    this.#loaded.add(brandString(adapter));
    this.send({ type: "load-finished", adapter: brandString(adapter) });
  }

  unloaded(adapter: string): void {
    this.#loaded.delete(brandString(adapter));
    this.send({ type: "unload-finished", adapter: brandString(adapter) });
  }

  finish(requestId: string): void {
    this.send({
      type: "finished",
      requestId: brandString(requestId),
      tokens: 10,
    });
  }

  cancel(requestId: string): void {
    this.send({ type: "cancel", requestId: brandString(requestId) });
  }

  startStream(requestId: string): void {
    this.send({ type: "first-token", requestId: brandString(requestId) });
  }

  preempted(requestId: string, tokens: number): void {
    const id = brandString<RequestId>(requestId);
    this.send({ type: "preempted", requestId: id, tokens });
  }

  failStream(requestId: string, kind: StreamFailureKind): void {
    const id = brandString<RequestId>(requestId);
    this.send({ type: "stream-failed", requestId: id, kind, detail: kind });
  }

  failLoad(adapter: string): void {
    const key = brandString<AdapterKey>(adapter);
    this.send({ type: "load-failed", adapter: key, detail: "failed" });
  }

  /** Lists the digests of all suspects. */
  suspects(): string[] {
    return this.commands.flatMap((command) =>
      command.type === "suspect" ? command.digests : [],
    );
  }

  /** Lists the request ids or adapters of the commands of one type, in order. */
  sent(type: EngineCommand["type"]): string[] {
    return this.commands
      .filter((command) => command.type === type)
      .map(getSubject);
  }

  /** Returns the code and outcome of each refusal by request. */
  refusals(): Record<string, string> {
    const refusals: Record<string, string> = {};
    for (const command of this.commands) {
      if (command.type !== "refuse") continue;
      const { code, outcome, suspect } = command.refusal;
      refusals[command.requestId] =
        `${code} ${outcome}${suspect === true ? " suspect" : ""}`;
    }
    return refusals;
  }

  clear(): void {
    this.commands.length = 0;
  }
}

function getSubject(command: EngineCommand): string {
  if (command.type === "dispatch") return command.work.requestId;
  if ("adapter" in command) return command.adapter as string;
  if ("requestId" in command) return command.requestId as string;
  return command.type;
}

/** Creates work for a test, with a deadline in 30 s. */
export function createWork(
  requestId: string,
  now: Millis,
  { adapter, ...fields }: WorkFields,
): WorkItem {
  return {
    requestId: brandString(requestId),
    adapter: brandString(adapter),
    customer: brandString("customer"),
    priority: "normal",
    expectedTokens: 50,
    arrivedAt: now,
    deadlineAt: millis(now + 30_000),
    digest: brandString(`digest-${requestId}`),
    prefix: brandString("prefix"),
    resumeAt: 0,
    isolated: false,
    ...fields,
  };
}
