import type { Millis } from "../../../core/clock.ts";
import type {
  EngineBacklog,
  EngineUsage,
} from "../../../core/gateway/engine_backlog.ts";
import type { ModelAdapterKey, ServerId } from "../../../core/ids.ts";

/** Assumed time that a request runs before any has ended, in ms, and the weight of each that ends. */
const initialRunTime = 1_500;
const runTimeWeight = 0.05;
/** Factor by which a run counts as longer than the average at most. */
const maxRunFactor = 4;

/** Requests of this node at one engine. */
type UsageRecord = {
  readonly running: Map<ModelAdapterKey, number>;
  readonly queued: Map<ModelAdapterKey, number>;
  /** Adapters on which requests started since the last report. */
  readonly started: Set<ModelAdapterKey>;
  requests: number;
  tokens: number;
  runningRequests: number;
  /** Whether the latest changes have not been reported to the owner. */
  hasUnreportedChanges: boolean;
};

/** Counts the requests of this node at each engine. */
export class EngineUsageCounter {
  readonly #now: () => Millis;
  readonly #records = new Map<ServerId, UsageRecord>();
  #runTime = initialRunTime;

  private constructor(now: () => Millis) {
    this.#now = now;
  }

  static create(now: () => Millis): EngineUsageCounter {
    return new EngineUsageCounter(now);
  }

  /** Moving average of the time that a request runs, in ms. */
  get runTime(): number {
    return this.#runTime;
  }

  /** Counts a request that was sent to an engine; the returned function ends the count. */
  trackSent(
    engine: ServerId,
    key: ModelAdapterKey,
    tokens: number,
  ): () => void {
    const record = this.#obtain(engine);
    record.requests++;
    record.tokens += tokens;
    const release = countRequest(record, record.queued, key);
    return once(() => {
      record.requests--;
      record.tokens -= tokens;
      release();
    });
  }

  /** Counts a request that runs on an adapter; the returned function ends the count. */
  trackRunning(engine: ServerId, key: ModelAdapterKey): () => void {
    const record = this.#obtain(engine);
    const startedAt = this.#now();
    record.started.add(key);
    record.runningRequests++;
    const release = countRequest(record, record.running, key);
    return once(() => {
      record.runningRequests--;
      const longest = maxRunFactor * Math.max(1, this.#runTime);
      const runTime = Math.min(longest, this.#now() - startedAt);
      this.#runTime += (runTime - this.#runTime) * runTimeWeight;
      release();
    });
  }

  /** Requests of this node at an engine. */
  getBacklog(engine: ServerId): EngineBacklog {
    const { requests, tokens, runningRequests } =
      this.#records.get(engine) ?? createRecord();
    return { requests, tokens, running: runningRequests };
  }

  /** Whether requests of this node use an engine. */
  isBusy(engine: ServerId): boolean {
    const record = this.#records.get(engine);
    return record !== undefined && record.running.size + record.queued.size > 0;
  }

  /** Whether the usage of an engine has changed since it was taken. */
  hasChanges(engine: ServerId): boolean {
    return this.#records.get(engine)?.hasUnreportedChanges === true;
  }

  /** Takes the usage of an engine for a report to its owner. */
  take(engine: ServerId): Omit<EngineUsage, "contentsVersion"> {
    const record = this.#records.get(engine) ?? createRecord();
    const ran = new Set([...record.running.keys(), ...record.started]);
    // Requests that have already ended make another report due, which omits their adapters.
    record.hasUnreportedChanges = ran.size > record.running.size;
    record.started.clear();
    return {
      engine,
      ran: [...ran],
      queuedAdapters: [...record.queued.keys()],
      queuedRequests: record.requests,
      queuedTokens: record.tokens,
      runningRequests: record.runningRequests,
    };
  }

  /** Drops the counts of an engine that is gone. */
  forget(engine: ServerId): void {
    this.#records.delete(engine);
  }

  #obtain(engine: ServerId): UsageRecord {
    let record = this.#records.get(engine);
    if (record === undefined) {
      record = createRecord();
      this.#records.set(engine, record);
    }
    return record;
  }
}

function createRecord(): UsageRecord {
  return {
    running: new Map(),
    queued: new Map(),
    started: new Set(),
    requests: 0,
    tokens: 0,
    runningRequests: 0,
    hasUnreportedChanges: false,
  };
}

function countRequest(
  record: UsageRecord,
  counts: Map<ModelAdapterKey, number>,
  key: ModelAdapterKey,
): () => void {
  record.hasUnreportedChanges = true;
  counts.set(key, (counts.get(key) ?? 0) + 1);
  return () => {
    record.hasUnreportedChanges = true;
    const left = (counts.get(key) ?? 1) - 1;
    if (left > 0) counts.set(key, left);
    else counts.delete(key);
  };
}

function once(action: () => void): () => void {
  let isDone = false;
  return () => {
    if (isDone) return;
    isDone = true;
    action();
  };
}
