import { millis } from "../clock.ts";
import { type EventContext, mayDispatch, removeRunning } from "./context.ts";
import { countFreeBatchCapacity } from "./dispatch.ts";
import type { EngineEvent } from "./messages.ts";
import { enqueue } from "./queue.ts";
import { toQueueEntry } from "./queue_entry.ts";
import { getBatchUsage } from "./slots.ts";
import type { RunningStream } from "./state.ts";

/** Number of times that one request may be preempted, since the engine processes its prompt again each time. */
const MAX_PREEMPTIONS = 5;

/** Token bucket of preemptions: refill interval in ms and capacity. It covers bursts of short work, while sustained overload must not displace long work. */
const PREEMPTION_INTERVAL = 1_000;
const PREEMPTION_BURST = 16;

/** Deadline of a request that has produced tokens: the deadline for its first token no longer applies. */
const NEVER = millis(Number.POSITIVE_INFINITY);

/** Preempts long streams when the batch is full and short work waits. */
export function preemptLongStreams(context: EventContext): void {
  const { state, policies, commands } = context;
  if (!mayDispatch(context) || countFreeBatchCapacity(context) > 0) return;
  if (state.queue.isolated.size > 0) return;
  const preempting = countPreempting(state.running.values());
  const usage = getBatchUsage(state);
  const displaceable = state.runningLong - policies.minLongBatch(usage);
  const wanted = Math.min(usage.shortWaiting, displaceable) - preempting;
  if (wanted <= 0) return;
  refillBudget(context);
  for (let count = 0; count < wanted; count++) {
    const running = choosePreempted(state.running.values());
    if (running === undefined || state.preemptions.left < 1) return;
    state.preemptions.left--;
    running.preempting = true;
    const { requestId } = running.work;
    commands.push({ type: "preempt", requestId });
  }
}

function refillBudget({ state, now }: EventContext): void {
  const { left, at } = state.preemptions;
  const added = (now - at) / PREEMPTION_INTERVAL;
  state.preemptions = {
    left: Math.min(PREEMPTION_BURST, left + added),
    at: now,
  };
}

function countPreempting(streams: Iterable<RunningStream>): number {
  let count = 0;
  for (const { preempting } of streams) if (preempting) count++;
  return count;
}

/** Chooses the long stream that was preempted least often; on a tie, the one dispatched last. */
function choosePreempted(
  streams: Iterable<RunningStream>,
): RunningStream | undefined {
  let chosen: RunningStream | undefined;
  for (const running of streams) {
    if (!mayPreempt(running)) continue;
    const fewer =
      chosen === undefined || running.preemptions < chosen.preemptions;
    const younger =
      running.preemptions === chosen?.preemptions &&
      running.dispatchedAt > chosen.dispatchedAt;
    if (fewer || younger) chosen = running;
  }
  return chosen;
}

function mayPreempt(running: RunningStream): boolean {
  const { long, work, broken, preempting, preemptions } = running;
  const idle = !broken && !preempting && running.firstTokenAt !== undefined;
  return long && idle && !work.isolated && preemptions < MAX_PREEMPTIONS;
}

/** Returns a preempted stream to the queue, to resume where it stopped. */
export function requeuePreempted(
  context: EventContext,
  { requestId, tokens }: Extract<EngineEvent, { type: "preempted" }>,
): void {
  const { state, now, policies } = context;
  const running = removeRunning(state, requestId);
  if (running === undefined) return;
  state.counters.preemptions++;
  const { work, delivered, preemptions } = running;
  state.unconfirmed.set(requestId, { adapter: work.adapter, since: now });
  const resumeAt = work.resumeAt + tokens - delivered;
  enqueue(state.queue, {
    ...toQueueEntry(running),
    work: { ...work, resumeAt, deadlineAt: NEVER },
    // Ranked as new work; otherwise it would be dispatched again at once instead of the short work.
    rank: policies.rank({ ...work, arrivedAt: now, deadlineAt: NEVER }),
    queuedAt: now,
    preemptions: preemptions + 1,
    delivered: tokens,
  });
}
