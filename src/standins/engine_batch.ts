import { type Cancel, type Clock, millis } from "../core/clock.ts";
import type { Priority } from "../core/engine/work_item.ts";
import type { AdapterKey, RequestId } from "../core/ids.ts";
import type {
  EngineFailure,
  GenerateOrder,
  StreamSink,
} from "../ports/engine.ts";
import type { Prompt } from "./tokens.ts";

const priorities: readonly Priority[] = ["urgent", "normal", "bulk"];

/** What the engine ran, for tests. */
export type RunRecord = {
  readonly requestId: RequestId;
  readonly adapter: AdapterKey;
  readonly resumeAt: number;
  tokens: number;
  state: "waiting" | "running" | "finished" | "cancelled" | "crashed";
};

/** One request in the engine. */
export type Run = {
  readonly order: GenerateOrder;
  readonly sink: StreamSink;
  readonly prompt: Prompt;
  /** Builds the event of the token with this index. */
  readonly write: (index: number) => Uint8Array;
  readonly record: RunRecord;
  next: number;
  output: "open" | "silent" | "closed";
  /** Sink calls kept back while the reader pauses. */
  held: (() => void)[] | undefined;
};

/** Speed of the batch, in ms. */
export type BatchOptions = {
  readonly clock: Clock;
  readonly size: number;
  /** Step time with an empty batch and growth per request in the batch. */
  readonly stepTime?: number;
  readonly stepGrowth?: number;
  /** Extra step time for each KiB of prompt that enters the batch. */
  readonly prefillPerKib?: number;
  /** Called instead of the end of the step when such a prompt has entered. */
  readonly isPoison: (text: string) => boolean;
  readonly onPoison: () => void;
};

/** Continuous batch: requests enter by priority at each step and get one token per step. */
export class EngineBatch {
  slowdown = 1;
  steps = 0;
  tokens = 0;
  readonly #options: BatchOptions;
  readonly #running = new Set<Run>();
  #waiting: Run[] = [];
  #cancelStep: Cancel | undefined;

  constructor(options: BatchOptions) {
    this.#options = options;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  /** Running and waiting requests. */
  list(): Run[] {
    return [...this.#running, ...this.#waiting];
  }

  add(run: Run): void {
    this.#waiting.push(run);
    this.#startStep();
  }

  /** Takes a request out and tells its sink, unless it has ended already. */
  end(run: Run, state: RunRecord["state"], kind?: EngineFailure["kind"]): void {
    if (!this.#running.delete(run)) {
      const index = this.#waiting.indexOf(run);
      if (index < 0) return;
      this.#waiting.splice(index, 1);
    }
    run.record.state = state;
    if (kind === undefined) deliver(run, () => run.sink.onEnd());
    else deliver(run, () => run.sink.onFailure({ kind, detail: state }));
  }

  crash(): void {
    this.#cancelStep?.();
    this.#cancelStep = undefined;
    for (const run of this.list()) this.end(run, "crashed", "broken");
  }

  #startStep(): void {
    if (this.#cancelStep !== undefined) return;
    const entered = this.#fill();
    if (this.#running.size === 0) return;
    const {
      clock,
      stepTime = 10,
      stepGrowth = 0.05,
      prefillPerKib = 1,
      isPoison,
      onPoison,
    } = this.#options;
    const kib = entered.reduce(
      (sum, { prompt }) => sum + prompt.text.length,
      0,
    );
    const duration =
      stepTime + stepGrowth * this.#running.size + prefillPerKib * (kib / 1024);
    const poisoned = entered.some(({ prompt }) => isPoison(prompt.text));
    const finish = () => {
      this.#cancelStep = undefined;
      if (poisoned) onPoison();
      else this.#finishStep();
    };
    this.#cancelStep = clock.schedule(millis(duration * this.slowdown), finish);
  }

  #fill(): Run[] {
    const free = this.#options.size - this.#running.size;
    if (free <= 0 || this.#waiting.length === 0) return [];
    const ordered = priorities.flatMap((priority) =>
      this.#waiting.filter(({ order }) => order.priority === priority),
    );
    const entered = ordered.splice(0, free);
    this.#waiting = ordered;
    for (const run of entered) {
      run.record.state = "running";
      this.#running.add(run);
    }
    return entered;
  }

  #finishStep(): void {
    this.steps++;
    for (const run of [...this.#running]) {
      if (!this.#running.has(run)) continue;
      if (run.next < run.prompt.tokens) {
        this.tokens++;
        run.record.tokens++;
        const bytes = run.write(run.next++);
        deliver(run, () => run.sink.onChunk(bytes, 1));
      }
      if (run.next >= run.prompt.tokens) this.end(run, "finished");
    }
    this.#startStep();
  }
}

/** Calls the sink now, later if the reader pauses, or never. */
export function deliver(run: Run, call: () => void): void {
  if (run.output !== "open") return;
  if (run.held !== undefined) run.held.push(call);
  else call();
}
