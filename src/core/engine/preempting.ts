import { millis } from "../clock.ts";
import { countFreePlaces } from "./dispatch.ts";
import type { EngineEvent } from "./messages.ts";
import { enqueue } from "./queue.ts";
import { toEntry } from "./running.ts";
import { describeBatch } from "./slots.ts";
import type { Running } from "./state.ts";
import { mayDispatch, removeRunning, type Turn } from "./turn.ts";

/** Times that one request may be preempted; each time the engine reads its prompt again. */
const MAX_PREEMPTIONS = 5;

/** Budget of preemptions: one more every so many ms, up to a limit; it covers bursts of short work, while lasting overload must not displace long work. */
const PREEMPTION_INTERVAL = 1_000;
const PREEMPTION_BURST = 16;

/** A request that has been answered in part has no deadline of its first token any more. */
const NEVER = millis(Number.POSITIVE_INFINITY);

/** Lets long work make room for short work that waits for a place. */
export function preemptLong(turn: Turn): void {
  const { state, policies, commands } = turn;
  if (!mayDispatch(turn) || countFreePlaces(turn) > 0) return;
  if (state.queue.isolated.size > 0) return;
  const preempting = countPreempting(state.running.values());
  const use = describeBatch(state);
  const spare = state.runningLong - policies.keptLongPlaces(use);
  const wanted = Math.min(use.shortWaiting, spare) - preempting;
  if (wanted <= 0) return;
  refillBudget(turn);
  for (let count = 0; count < wanted; count++) {
    const running = choosePreempted(state.running.values());
    if (running === undefined || state.preemptions.left < 1) return;
    state.preemptions.left--;
    running.preempting = true;
    const { requestId } = running.work;
    commands.push({ type: "preempt", requestId });
  }
}

function refillBudget({ state, now }: Turn): void {
  const { left, at } = state.preemptions;
  const added = (now - at) / PREEMPTION_INTERVAL;
  state.preemptions = {
    left: Math.min(PREEMPTION_BURST, left + added),
    at: now,
  };
}

function countPreempting(streams: Iterable<Running>): number {
  let count = 0;
  for (const { preempting } of streams) if (preempting) count++;
  return count;
}

/** Long stream that was preempted least often, the youngest among equals. */
function choosePreempted(streams: Iterable<Running>): Running | undefined {
  let chosen: Running | undefined;
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

function mayPreempt(running: Running): boolean {
  const { long, work, broken, preempting, preemptions } = running;
  const idle = !broken && !preempting && running.firstTokenAt !== undefined;
  return long && idle && !work.isolated && preemptions < MAX_PREEMPTIONS;
}

/** Puts a stream that made room back into the queue, to go on where it stopped. */
export function requeuePreempted(
  turn: Turn,
  { requestId, tokens }: Extract<EngineEvent, { type: "preempted" }>,
): void {
  const { state, now, policies } = turn;
  const running = removeRunning(state, requestId);
  if (running === undefined) return;
  state.counters.preemptions++;
  const { work, delivered, preemptions } = running;
  state.unconfirmed.set(requestId, { adapter: work.adapter, since: now });
  const resumeAt = work.resumeAt + tokens - delivered;
  enqueue(state.queue, {
    ...toEntry(running),
    work: { ...work, resumeAt, deadlineAt: NEVER },
    // Ranked as new work, or it would take back the place that it left.
    rank: policies.rank({ ...work, arrivedAt: now, deadlineAt: NEVER }),
    queuedAt: now,
    preemptions: preemptions + 1,
    delivered: tokens,
  });
}
