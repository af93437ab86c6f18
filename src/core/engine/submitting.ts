import { type Millis, millis } from "../clock.ts";
import { type Refusal, refuse } from "../results/refusal.ts";
import { estimateLoadWait } from "./load_demand.ts";
import { dequeue, dequeueExpired, enqueue } from "./queue.ts";
import { record, refuseRequest, removeRunning, type Turn } from "./turn.ts";
import type { Work } from "./work.ts";

/** Wait that a refused sender is told while the engine does not answer, in ms. */
const DOWN_RETRY_AFTER = millis(1_000);

/** Queues a request, or refuses it when it cannot run here in time. */
export function submitWork(turn: Turn, work: Work): void {
  const { state, policies } = turn;
  if (
    state.queue.byId.has(work.requestId) ||
    state.running.has(work.requestId)
  ) {
    state.counters.duplicates++;
    return;
  }
  const refusal = findRefusal(turn, work);
  if (refusal !== undefined) {
    refuseRequest(turn, work.requestId, refusal);
    return;
  }
  enqueue(state.queue, {
    work,
    rank: policies.rank(work),
    long: policies.isLong(work),
    queuedAt: turn.now,
    requeued: 0,
    preemptions: 0,
    delivered: 0,
  });
}

function findRefusal(turn: Turn, work: Work): Refusal | undefined {
  const { state, now } = turn;
  const { counters, queue, identity } = state;
  if (state.draining) return refuse("draining", "The owner node is draining");
  if (state.ownership === undefined) {
    return refuse("notOwner", `This node does not own ${identity.engine}`);
  }
  if (state.leaving) {
    return refuse("engineRefused", `Engine ${identity.engine} is leaving`);
  }
  if (state.contact === "down") {
    return refuse(
      "engineRefused",
      `Engine ${identity.engine} does not answer`,
      { retryAfter: DOWN_RETRY_AFTER },
    );
  }
  if (work.deadlineAt <= now) {
    counters.deadlinePassed++;
    return refuse("deadlinePassed", "The deadline passed on the way");
  }
  if (queue.byId.size >= identity.limits.queue) {
    counters.queueFull++;
    return refuse("queueFull", `The queue of ${identity.engine} is full`, {
      retryAfter: estimateQueueWait(turn),
    });
  }
  return findLoadRefusal(turn, work);
}

/** Refuses work whose adapter cannot be loaded before the deadline. */
function findLoadRefusal(turn: Turn, work: Work): Refusal | undefined {
  const { state, now } = turn;
  if (state.slots.get(work.adapter)?.phase === "loaded") return undefined;
  const wait = estimateLoadWait(turn, {
    adapter: work.adapter,
    rank: turn.policies.rank(work),
  });
  if (now + wait < work.deadlineAt) return undefined;
  state.counters.loadGivenUp++;
  return refuse("loadFailed", "The load would end after the deadline", {
    retryAfter: millis(Math.ceil(wait)),
  });
}

/** Time until the present queue has been dispatched, in ms. */
function estimateQueueWait({ state }: Turn): Millis {
  const perPlace = state.queue.byId.size / state.identity.limits.batch;
  return millis(Math.ceil(perPlace * state.estimates.service));
}

/** Ends a request whose caller left. */
export function cancelWork(turn: Turn, requestId: Work["requestId"]): void {
  const { state, now } = turn;
  if (dequeue(state.queue, requestId) !== undefined) {
    record(turn, "requestCancelled", { requestId });
    return;
  }
  const running = removeRunning(state, requestId);
  if (running === undefined) return;
  state.unconfirmed.set(requestId, {
    adapter: running.work.adapter,
    since: now,
  });
  turn.commands.push({ type: "cancel-stream", requestId });
  record(turn, "requestCancelled", { requestId });
}

/** Refuses queued work whose deadline has passed. */
export function refuseExpired(turn: Turn): void {
  const { state, now } = turn;
  for (const { work } of dequeueExpired(state.queue, now)) {
    state.counters.deadlinePassed++;
    refuseRequest(
      turn,
      work.requestId,
      refuse("deadlinePassed", "The deadline passed in the queue"),
    );
  }
}
