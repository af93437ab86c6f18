import { type Millis, millis } from "../clock.ts";
import { type Refusal, refuse } from "../results/refusal.ts";
import {
  type EventContext,
  recordEvent,
  refuseRequest,
  removeRunning,
} from "./context.ts";
import { estimateLoadWait } from "./load_demand.ts";
import { dequeue, dequeueExpired, enqueue } from "./queue.ts";
import type { WorkItem } from "./work_item.ts";

/** Retry delay in refusals while the engine does not answer, in ms. */
const DOWN_RETRY_AFTER = millis(1_000);

/** Queues a request, or refuses it when it cannot run here in time. */
export function submitWork(context: EventContext, work: WorkItem): void {
  const { state, policies } = context;
  if (
    state.queue.byId.has(work.requestId) ||
    state.running.has(work.requestId)
  ) {
    state.counters.duplicates++;
    return;
  }
  const refusal = findRefusal(context, work);
  if (refusal !== undefined) {
    refuseRequest(context, work.requestId, refusal);
    return;
  }
  enqueue(state.queue, {
    work,
    rank: policies.rank(work),
    long: policies.isLong(work),
    queuedAt: context.now,
    requeued: 0,
    preemptions: 0,
    delivered: 0,
  });
}

function findRefusal(
  context: EventContext,
  work: WorkItem,
): Refusal | undefined {
  const { state, now } = context;
  const { counters, queue, identity } = state;
  if (state.draining) return refuse("draining", "The owner node is draining");
  if (state.ownership === undefined) {
    return refuse("notOwner", `This node does not own ${identity.engine}`);
  }
  if (state.leaving) {
    return refuse("engineRefused", `Engine ${identity.engine} is leaving`);
  }
  if (state.reachability === "down") {
    return refuse(
      "engineRefused",
      `Engine ${identity.engine} does not answer`,
      { retryAfter: DOWN_RETRY_AFTER },
    );
  }
  if (work.deadlineAt <= now) {
    counters.deadlinePassed++;
    return refuse(
      "deadlinePassed",
      "The deadline passed before the request arrived",
    );
  }
  if (queue.byId.size >= identity.limits.queue) {
    counters.queueFull++;
    return refuse("queueFull", `The queue of ${identity.engine} is full`, {
      retryAfter: estimateQueueWait(context),
    });
  }
  return findLoadRefusal(context, work);
}

/** Refuses work whose adapter cannot be loaded before the deadline. */
function findLoadRefusal(
  context: EventContext,
  work: WorkItem,
): Refusal | undefined {
  const { state, now } = context;
  if (state.slots.get(work.adapter)?.phase === "loaded") return undefined;
  const wait = estimateLoadWait(context, {
    adapter: work.adapter,
    rank: context.policies.rank(work),
  });
  if (now + wait < work.deadlineAt) return undefined;
  state.counters.loadGivenUp++;
  return refuse("loadFailed", "The load would end after the deadline", {
    retryAfter: millis(Math.ceil(wait)),
  });
}

/** Estimates the time until the present queue has been dispatched, in ms. */
function estimateQueueWait({ state }: EventContext): Millis {
  const rounds = state.queue.byId.size / state.identity.limits.batch;
  return millis(Math.ceil(rounds * state.estimates.service));
}

/** Cancels a request whose caller has disconnected. */
export function cancelWork(
  context: EventContext,
  requestId: WorkItem["requestId"],
): void {
  const { state, now } = context;
  if (dequeue(state.queue, requestId) !== undefined) {
    recordEvent(context, "requestCancelled", { requestId });
    return;
  }
  const running = removeRunning(state, requestId);
  if (running === undefined) return;
  state.unconfirmed.set(requestId, {
    adapter: running.work.adapter,
    since: now,
  });
  context.commands.push({ type: "cancel-stream", requestId });
  recordEvent(context, "requestCancelled", { requestId });
}

/** Refuses queued work whose deadline has passed. */
export function refuseExpired(context: EventContext): void {
  const { state, now } = context;
  for (const { work } of dequeueExpired(state.queue, now)) {
    state.counters.deadlinePassed++;
    refuseRequest(
      context,
      work.requestId,
      refuse("deadlinePassed", "The deadline passed in the queue"),
    );
  }
}
