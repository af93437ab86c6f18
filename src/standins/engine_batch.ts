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

/** Record of one request that the engine accepted, for tests. */
export type RunRecord = {
  readonly requestId: RequestId;
  readonly adapter: AdapterKey;
  readonly resumeAt: number;
  tokens: number;
  state: "waiting" | "running" | "finished" | "cancelled" | "crashed";
};

/** One request that is waiting or running in the engine. */
export type Run = {
  readonly order: GenerateOrder;
  readonly sink: StreamSink;
  readonly prompt: Prompt;
  /** Encodes the token with this index as a server-sent event. */
  readonly write: (index: number) => Uint8Array;
  readonly record: RunRecord;
  nextToken: number;
  output: "open" | "silent" | "closed";
  /** Sink calls buffered while the reader is paused. */
  held: (() => void)[] | undefined;
};

/** Capacity and speed of the batch; times in ms. */
export type BatchOptions = {
  readonly clock: Clock;
  /** Requests that run at the same time. */
  readonly size: number;
  /** Duration of a step with an empty batch, and its increase per running request. */
  readonly stepTime?: number;
  readonly stepGrowth?: number;
  /** Increase of the step's duration per KiB of prompt that is admitted for it. */
  readonly prefillPerKib?: number;
  readonly isPoison: (text: string) => boolean;
  /** Called instead of the end of a step for which a poison prompt was admitted. */
  readonly onPoison: () => void;
};

/** Continuous batch: each step admits requests by priority and generates one token for each. */
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

  /** Removes a request and ends its stream, unless it has ended already. */
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
    const admitted = this.#admitWaiting();
    if (this.#running.size === 0) return;
    const {
      clock,
      stepTime = 10,
      stepGrowth = 0.05,
      prefillPerKib = 1,
      isPoison,
      onPoison,
    } = this.#options;
    const promptLength = admitted.reduce(
      (sum, { prompt }) => sum + prompt.text.length,
      0,
    );
    const duration =
      stepTime +
      stepGrowth * this.#running.size +
      prefillPerKib * (promptLength / 1024);
    const hasPoison = admitted.some(({ prompt }) => isPoison(prompt.text));
    const completeStep = () => {
      this.#cancelStep = undefined;
      if (hasPoison) onPoison();
      else this.#finishStep();
    };
    this.#cancelStep = clock.schedule(
      millis(duration * this.slowdown),
      completeStep,
    );
  }

  #admitWaiting(): Run[] {
    const free = this.#options.size - this.#running.size;
    if (free <= 0 || this.#waiting.length === 0) return [];
    const ordered = priorities.flatMap((priority) =>
      this.#waiting.filter(({ order }) => order.priority === priority),
    );
    const admitted = ordered.splice(0, free);
    this.#waiting = ordered;
    for (const run of admitted) {
      run.record.state = "running";
      this.#running.add(run);
    }
    return admitted;
  }

  #finishStep(): void {
    this.steps++;
    for (const run of [...this.#running]) {
      if (!this.#running.has(run)) continue;
      if (run.nextToken < run.prompt.tokens) {
        this.tokens++;
        run.record.tokens++;
        const bytes = run.write(run.nextToken++);
        deliver(run, () => run.sink.onChunk(bytes, 1));
      }
      if (run.nextToken >= run.prompt.tokens) this.end(run, "finished");
    }
    this.#startStep();
  }
}

/** Calls the sink, buffers the call while the reader is paused, or drops it if the output is silent or closed. */
export function deliver(run: Run, call: () => void): void {
  if (run.output !== "open") return;
  if (run.held !== undefined) run.held.push(call);
  else call();
}
