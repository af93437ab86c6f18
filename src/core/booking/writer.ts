import { type Millis, millis } from "../clock.ts";
import type { Decide, Decision } from "../decision.ts";
import type { AttemptToken, RowKey } from "../ids.ts";
import { brandString } from "../ids.ts";
import { type Claim, parseClaim } from "./claim.ts";
import type {
  BatchResult,
  ClaimWrite,
  FoundRow,
  PendingWrite,
  WriteResult,
  WriterCommand,
  WriterEvent,
  WriterState,
} from "./writer_messages.ts";

/** Maximum number of rows in one transaction. */
export const maxBatchRows = 200;
/** Maximum number of claims in the queue of one node. */
export const maxQueuedClaims = 2_000;
/**
 * Transactions per second of one node. The table takes several hundred writes
 * per second from all nodes; 9 nodes at their limit use 225. At 1,000 bookings/s
 * about 80 claims and outcomes share a transaction.
 */
export const writesPerSecond = 25;
/** Transactions that may start in a row without delay. */
export const writeBurst = 10;
/** Minimum and maximum delay before a failed transaction is retried, in ms. */
export const minBackoff = millis(50);
export const maxBackoff = millis(5_000);
/** Consecutive failures after which new claims are refused at once. */
export const outageFailures = 3;
/** Interval at which claims past their time limit are reported as failed, in ms. */
const expiryCheckInterval = millis(50);

type WriterDecision = Decision<WriterState, WriterCommand>;

/** State of a writer with nothing to write. */
export function createWriterState(prefix: string, now: Millis): WriterState {
  return {
    queue: [],
    activeBatch: undefined,
    prefix,
    attempts: 0,
    failures: 0,
    retryAt: now,
    tokens: writeBurst,
    tokensAt: now,
  };
}

/** Number of writes that have no result yet. */
function countPending(state: WriterState): number {
  return state.queue.length + (state.activeBatch?.claimWrites.length ?? 0);
}

/** Builds the decision function that groups row writes into transactions. */
export function createWriterDecision(
  random: () => number,
): Decide<WriterState, WriterEvent, WriterCommand> {
  return (state, event, now) => {
    switch (event.type) {
      case "write":
        return enqueue(state, event.claimWrite, now);
      case "wake":
        return processQueue(state, [], now);
      case "result":
        if (event.attempt !== state.activeBatch?.attempt) {
          return { state, commands: [] };
        }
        return handleResult(state, event.result, { random, now });
    }
  };
}

/** Queues a write; claims are refused at once in an outage or when the queue is full. */
function enqueue(
  state: WriterState,
  claimWrite: ClaimWrite,
  now: Millis,
): WriterDecision {
  const inOutage = state.failures >= outageFailures;
  const mustWait = state.activeBatch !== undefined || now < state.retryAt;
  const full = state.queue.length >= maxQueuedClaims;
  if (claimWrite.mode === "exact" && ((inOutage && mustWait) || full)) {
    const result: WriteResult = { kind: "failed", maybeApplied: false };
    const commands: WriterCommand[] = [{ type: "notify", claimWrite, result }];
    if (full) commands.push({ type: "rejected" });
    return { state, commands };
  }
  const queue = [...state.queue, { claimWrite, maybeApplied: false }];
  return processQueue({ ...state, queue }, [], now);
}

/** Fails expired claims, and starts a transaction when none is in flight. */
function processQueue(
  before: WriterState,
  earlier: readonly WriterCommand[],
  now: Millis,
): WriterDecision {
  const commands = [...earlier];
  const state = refill(expireWrites(before, commands, now), now);
  if (countPending(state) === 0) return { state, commands };
  if (state.activeBatch !== undefined || state.queue.length === 0) {
    commands.push({ type: "set-timer", at: millis(now + expiryCheckInterval) });
    return { state, commands };
  }
  const startAt =
    state.tokens >= 1
      ? state.retryAt
      : Math.max(
          state.retryAt,
          now + ((1 - state.tokens) * 1_000) / writesPerSecond,
        );
  if (now < startAt) {
    const at = millis(Math.min(startAt, now + expiryCheckInterval));
    commands.push({ type: "set-timer", at });
    return { state, commands };
  }
  return startBatch(state, commands, now);
}

function startBatch(
  state: WriterState,
  commands: WriterCommand[],
  now: Millis,
): WriterDecision {
  const keys = new Set<RowKey>();
  const claimWrites: PendingWrite[] = [];
  const rest: PendingWrite[] = [];
  for (const pending of state.queue) {
    const { key } = pending.claimWrite;
    if (claimWrites.length < maxBatchRows && !keys.has(key))
      claimWrites.push(pending);
    else rest.push(pending);
    keys.add(key);
  }
  const attempt: AttemptToken = brandString(
    `${state.prefix}.${state.attempts}`,
  );
  commands.push(
    {
      type: "transact",
      attempt,
      claimWrites: claimWrites.map(({ claimWrite }) => claimWrite),
    },
    { type: "set-timer", at: millis(now + expiryCheckInterval) },
  );
  return {
    state: {
      ...state,
      queue: rest,
      activeBatch: { attempt, claimWrites },
      attempts: state.attempts + 1,
      tokens: state.tokens - 1,
    },
    commands,
  };
}

function refill(state: WriterState, now: Millis): WriterState {
  const gained = ((now - state.tokensAt) * writesPerSecond) / 1_000;
  return {
    ...state,
    tokens: Math.min(writeBurst, state.tokens + gained),
    tokensAt: now,
  };
}

/** Reports claims past their time limit as failed; those in flight may still take effect. */
function expireWrites(
  state: WriterState,
  commands: WriterCommand[],
  now: Millis,
): WriterState {
  const isExpired = ({ claimWrite }: PendingWrite) =>
    claimWrite.mode === "exact" && now >= claimWrite.giveUpAt;
  const inFlight = state.activeBatch?.claimWrites ?? [];
  if (!state.queue.some(isExpired) && !inFlight.some(isExpired)) return state;
  for (const { claimWrite, maybeApplied } of state.queue.filter(isExpired)) {
    const result: WriteResult = { kind: "failed", maybeApplied };
    commands.push({ type: "notify", claimWrite, result });
  }
  for (const { claimWrite } of inFlight.filter(isExpired)) {
    const result: WriteResult = { kind: "failed", maybeApplied: true };
    commands.push({ type: "notify", claimWrite, result });
  }
  return {
    ...state,
    queue: state.queue.filter((pending) => !isExpired(pending)),
    activeBatch: state.activeBatch && {
      ...state.activeBatch,
      claimWrites: inFlight.filter((pending) => !isExpired(pending)),
    },
  };
}

function handleResult(
  before: WriterState,
  result: BatchResult,
  context: { random: () => number; now: Millis },
): WriterDecision {
  const { now } = context;
  const activeBatch = before.activeBatch;
  const claimWrites = activeBatch?.claimWrites ?? [];
  const state = { ...before, activeBatch: undefined };
  if (result.kind === "unavailable" || result.kind === "unknown") {
    const isLost = result.kind === "unknown";
    const commands: WriterCommand[] = [];
    if (isLost && activeBatch !== undefined) {
      commands.push({ type: "ambiguous", attempt: activeBatch.attempt });
    }
    const kept = claimWrites.map((pending) =>
      isLost ? { ...pending, maybeApplied: true } : pending,
    );
    return backOff(
      { ...state, queue: [...kept, ...state.queue] },
      commands,
      context,
    );
  }
  const commands: WriterCommand[] = [];
  if (state.failures >= outageFailures) {
    commands.push({ type: "outage", started: false });
  }
  const answered = { ...state, failures: 0, retryAt: now };
  if (result.kind === "committed") {
    for (const { claimWrite } of claimWrites) {
      const version =
        claimWrite.version === "absent" ? 1 : claimWrite.version + 1;
      const written: WriteResult = { kind: "written", version };
      commands.push({ type: "notify", claimWrite, result: written });
    }
    return processQueue(answered, commands, now);
  }
  const remaining = claimWrites.flatMap((pending) =>
    resolveConflict(pending, result.current, commands),
  );
  return processQueue(
    { ...answered, queue: [...remaining, ...answered.queue] },
    commands,
    now,
  );
}

function backOff(
  state: WriterState,
  commands: WriterCommand[],
  context: { random: () => number; now: Millis },
): WriterDecision {
  const failures = state.failures + 1;
  if (failures === outageFailures) {
    commands.push({ type: "outage", started: true });
  }
  const full = Math.min(maxBackoff, minBackoff * 2 ** (failures - 1));
  const delay = full * (0.5 + context.random() / 2);
  const retryAt = millis(context.now + delay);
  return processQueue({ ...state, failures, retryAt }, commands, context.now);
}

/** Resolves a write after a transaction with conflicts; returns it if it must be retried. */
function resolveConflict(
  pending: PendingWrite,
  current: ReadonlyMap<RowKey, FoundRow>,
  commands: WriterCommand[],
): readonly PendingWrite[] {
  const { claimWrite } = pending;
  if (!current.has(claimWrite.key)) return [pending];
  const row = current.get(claimWrite.key);
  const found = row === undefined ? undefined : parseClaim(row.value);
  const finish = (result: WriteResult): readonly PendingWrite[] => {
    commands.push({ type: "notify", claimWrite, result });
    return [];
  };
  if (row !== undefined && found?.write === claimWrite.claim.write) {
    return finish({ kind: "written", version: row.version });
  }
  if (claimWrite.mode === "exact")
    return finish({ kind: "conflict", current: row });
  if (row !== undefined && !canSettle(found, claimWrite.claim)) {
    return finish({ kind: "conflict", current: row });
  }
  const version = row === undefined ? "absent" : row.version;
  return [{ ...pending, claimWrite: { ...claimWrite, version } }];
}

/**
 * Whether an outcome may replace the stored claim: only that of the same call.
 * Once a caller was refused because the outcome is unknown, the key never runs
 * again, but a recorded answer still replaces the mark.
 */
function canSettle(found: Claim | undefined, claim: Claim): boolean {
  if (found === undefined || found.token !== claim.token) return false;
  if (found.state === "claimed") return true;
  return found.state === "unknown" && claim.state === "recorded";
}
