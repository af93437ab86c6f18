import { type Either, Left, Right } from "purify-ts";
import { type Cancel, type Clock, type Millis, millis } from "../core/clock.ts";
import type { EngineLimits } from "../core/engine/messages.ts";
import type { AdapterKey } from "../core/ids.ts";
import type {
  AdapterOrder,
  EngineFailure,
  EngineLink,
  EngineReport,
  GenerateOrder,
  StreamControl,
  StreamSink,
} from "../ports/engine.ts";
import { EngineBatch, type Run, type RunRecord } from "./engine_batch.ts";
import { createEventEncoder, parsePrompt } from "./tokens.ts";
import type { WeightStore } from "./weight_store.ts";

/** Time without a byte after which a stream fails as silent. */
const inactivityTimeout = millis(3000);
const restartDuration = millis(1000);
/** Limit of the run records kept for tests. */
const maxRecordedRuns = 200_000;

/** Capacity, speed and faults of an engine simulator. */
export type EngineSimulatorOptions = {
  readonly id: string;
  readonly clock: Clock;
  readonly store: WeightStore;
  readonly limits: Pick<EngineLimits, "slots" | "batch" | "fencing">;
  /** Speed; see `BatchOptions`. */
  readonly stepTime?: number;
  readonly stepGrowth?: number;
  readonly prefillPerKib?: number;
  /** Maximum age of the state in a report, in ms; 0 by default. */
  readonly reportLag?: number;
  /** Prefix of the boot token; the id by default. */
  readonly boot?: string;
  /** Whether a prompt crashes the engine. */
  readonly isPoison?: (text: string) => boolean;
  /** Whether a load fails; called when it starts. */
  readonly failsLoad?: (adapter: AdapterKey) => boolean;
};

type Result = Either<EngineFailure, void>;
type Slot =
  | "loaded"
  | { cancel: Cancel; waiters: ((result: Result) => void)[] };

/** Simulated engine with continuous batching and limited adapter slots, in memory. */
export class EngineSimulator implements EngineLink {
  /** Refuses new work; running work continues. */
  leaving = false;
  crashes = 0;
  readonly batch: EngineBatch;
  readonly runs: RunRecord[] = [];
  /** Adapters that were unloaded while a request used them. */
  readonly unloadedInUse: AdapterKey[] = [];
  readonly #options: EngineSimulatorOptions;
  readonly #clock: Clock;
  readonly #slots = new Map<AdapterKey, Slot>();
  #fence = 0;
  #down = false;
  #visibleReport: { at: number; report: EngineReport } | undefined;

  constructor(options: EngineSimulatorOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.batch = new EngineBatch({
      ...options,
      size: options.limits.batch,
      isPoison: options.isPoison ?? (() => false),
      onPoison: () => this.crash(),
    });
  }

  static create(options: EngineSimulatorOptions): EngineSimulator {
    return new EngineSimulator(options);
  }

  generate(order: GenerateOrder, sink: StreamSink): StreamControl {
    const run = this.#createRun(order, sink);
    if ("kind" in run) {
      const refuse = () => sink.onFailure(run);
      const cancel = this.#clock.schedule(millis(0), refuse);
      return { cancel, pause() {}, resume() {} };
    }
    this.batch.add(run);
    return {
      cancel: () => {
        this.#retainReport();
        run.output = "closed";
        this.batch.end(run, "cancelled");
      },
      pause: () => {
        run.held ??= [];
      },
      resume: () => {
        const bufferedCalls = run.held ?? [];
        run.held = undefined;
        for (const call of bufferedCalls) call();
      },
    };
  }

  async load(order: AdapterOrder): Promise<Result> {
    const failure = this.#findRejection(order);
    if (failure !== undefined) return Left(failure);
    const slot = this.#slots.get(order.adapter);
    if (slot === "loaded") return Right(undefined);
    if (slot === undefined && this.#slots.size >= this.#options.limits.slots) {
      return Left({ kind: "refused", detail: "No adapter slot is free" });
    }
    const attempt = slot ?? this.#startLoad(order.adapter);
    return new Promise((resolve) => attempt.waiters.push(resolve));
  }

  async unload(order: AdapterOrder): Promise<Result> {
    const { adapter } = order;
    const failure = this.#findRejection(order);
    if (failure !== undefined && failure.kind !== "leaving") {
      return Left(failure);
    }
    if (this.#slots.get(adapter) !== "loaded") {
      return Left({
        kind: "adapter-missing",
        detail: "Cannot unload an adapter that is not loaded",
      });
    }
    this.#retainReport();
    this.#slots.delete(adapter);
    const runsOnAdapter = this.batch
      .list()
      .filter((run) => run.order.adapter === adapter);
    if (runsOnAdapter.length > 0) this.unloadedInUse.push(adapter);
    for (const run of runsOnAdapter) this.batch.end(run, "crashed", "broken");
    return Right(undefined);
  }

  async report(): Promise<Either<EngineFailure, EngineReport>> {
    if (this.#down) return Left(connectionRefused);
    this.#retainReport();
    return Right(this.#visibleReport?.report ?? this.#createReport());
  }

  /** Breaks all requests and loads, then restarts empty with a new boot token. */
  crash(downFor: Millis = restartDuration): void {
    this.crashes++;
    this.#down = true;
    this.#fence = 0;
    this.#visibleReport = undefined;
    const slots = [...this.#slots.values()];
    this.#slots.clear();
    this.batch.crash();
    for (const slot of slots) {
      if (slot === "loaded") continue;
      slot.cancel();
      const failure = Left({
        kind: "broken",
        detail: "Engine crashed",
      } as const);
      for (const resolve of slot.waiters) resolve(failure);
    }
    this.#clock.schedule(downFor, () => {
      this.#down = false;
    });
  }

  /** Stops the delivery of open streams while their requests continue to run. */
  silenceStreams(): void {
    for (const run of this.batch.list()) {
      run.output = "silent";
      this.#clock.schedule(inactivityTimeout, () => {
        if (run.output !== "silent") return;
        run.sink.onFailure({ kind: "silent", detail: "No byte for 3 s" });
      });
    }
  }

  #createRun(order: GenerateOrder, sink: StreamSink): Run | EngineFailure {
    const failure = this.#findRejection(order);
    if (failure !== undefined) return failure;
    if (this.#slots.get(order.adapter) !== "loaded") {
      return {
        kind: "adapter-missing",
        detail: `Adapter ${order.adapter} is not loaded`,
      };
    }
    const prompt = parsePrompt(order.body);
    if (prompt === undefined) {
      return { kind: "refused", detail: "The body is not a JSON object" };
    }
    this.#retainReport();
    const { requestId, adapter, resumeAt } = order;
    const record: RunRecord = {
      requestId,
      adapter,
      resumeAt,
      tokens: 0,
      state: "waiting",
    };
    if (this.runs.length < maxRecordedRuns) this.runs.push(record);
    const write = createEventEncoder(order, prompt);
    const state = {
      nextToken: resumeAt,
      output: "open",
      held: undefined,
    } as const;
    return { order, sink, prompt, write, record, ...state };
  }

  #findRejection(order: AdapterOrder): EngineFailure | undefined {
    if (this.#clock.now() >= order.validUntil) {
      return { kind: "unreachable", detail: "The order is no longer valid" };
    }
    if (this.#down) return connectionRefused;
    if (this.#options.limits.fencing === "checked") {
      if (order.fence < this.#fence) {
        return {
          kind: "stale-fence",
          detail: `The engine has seen fencing number ${this.#fence}`,
        };
      }
      this.#fence = order.fence;
    }
    if (!this.leaving) return undefined;
    return { kind: "leaving", detail: "The server is leaving" };
  }

  #startLoad(adapter: AdapterKey): Exclude<Slot, "loaded"> {
    this.#retainReport();
    const fails = this.#options.failsLoad?.(adapter) ?? false;
    const attempt: Exclude<Slot, "loaded"> = { cancel() {}, waiters: [] };
    attempt.cancel = this.#options.store.load(() => {
      this.#retainReport();
      if (fails) this.#slots.delete(adapter);
      else this.#slots.set(adapter, "loaded");
      const result: Result = fails
        ? Left({ kind: "refused", detail: "The weights could not be read" })
        : Right(undefined);
      for (const resolve of attempt.waiters) resolve(result);
    });
    this.#slots.set(adapter, attempt);
    return attempt;
  }

  /** Called before each change: reports show the state before it until `reportLag` has passed. */
  #retainReport(): void {
    const { reportLag = 0 } = this.#options;
    const now = this.#clock.now();
    if (
      this.#visibleReport !== undefined &&
      now < this.#visibleReport.at + reportLag
    )
      return;
    this.#visibleReport =
      reportLag > 0 ? { at: now, report: this.#createReport() } : undefined;
  }

  #createReport(): EngineReport {
    const runs = this.batch.list();
    return {
      boot: `${this.#options.boot ?? this.#options.id}-${this.crashes}`,
      loaded: [...this.#slots.keys()].filter(
        (adapter) => this.#slots.get(adapter) === "loaded",
      ),
      running: runs.map((run) => run.order.requestId),
      waiting: this.batch.waiting,
      leaving: this.leaving,
      fence: this.#fence,
    };
  }
}

const connectionRefused: EngineFailure = {
  kind: "unreachable",
  detail: "Connection refused",
};
