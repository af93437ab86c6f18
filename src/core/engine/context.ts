import type { Millis } from "../clock.ts";
import type { AdapterKey, RequestId } from "../ids.ts";
import type { EventName } from "../observe/events.ts";
import type { Refusal } from "../results/refusal.ts";
import type { EngineCommand } from "./messages.ts";
import type { EnginePolicies } from "./policies.ts";
import type { QueueEntry } from "./queue.ts";
import { dequeue } from "./queue.ts";
import type { EngineState, RunningStream } from "./state.ts";

/** Context of one decision: state, time, and the commands issued so far. */
export type EventContext = {
  readonly state: EngineState;
  readonly now: Millis;
  readonly policies: EnginePolicies;
  readonly random: () => number;
  readonly commands: EngineCommand[];
};

/** Records an event for the log and the timeline. */
export function recordEvent(
  context: EventContext,
  event: EventName,
  fields: {
    requestId?: RequestId;
    adapter?: AdapterKey;
    detail?: string;
  } = {},
): void {
  context.commands.push({ type: "record", event, ...fields });
}

/** Ends a request at this owner with a refusal. */
export function refuseRequest(
  context: EventContext,
  requestId: RequestId,
  refusal: Refusal,
): void {
  context.commands.push({ type: "refuse", requestId, refusal });
}

/** Removes entries from the queue and refuses them, so that their entry nodes can route them again. */
export function refuseQueued(
  context: EventContext,
  entries: Iterable<QueueEntry>,
  refusal: Refusal,
): void {
  for (const { work, delivered } of [...entries]) {
    dequeue(context.state.queue, work.requestId);
    refuseRequest(
      context,
      work.requestId,
      delivered > 0 ? { ...refusal, outcome: "may-have-run" } : refusal,
    );
  }
}

/** Refuses all queued entries. */
export function refuseAllQueued(context: EventContext, refusal: Refusal): void {
  refuseQueued(context, context.state.queue.byId.values(), refusal);
}

/** Removes a stream from the running ones and updates the counts of its slot. */
export function removeRunning(
  state: EngineState,
  requestId: RequestId,
): RunningStream | undefined {
  const running = state.running.get(requestId);
  if (running === undefined) return undefined;
  state.running.delete(requestId);
  if (running.long) state.runningLong--;
  const slot = state.slots.get(running.work.adapter);
  if (slot !== undefined && slot.running > 0) {
    slot.running--;
    if (running.long) slot.runningLong--;
  }
  return running;
}

/** Whether loads and evictions may be ordered. */
export function mayOrder({ state, now }: EventContext): boolean {
  const { ownership } = state;
  return ownership !== undefined && now < ownership.orderUntil;
}

/** Whether requests may be dispatched to loaded adapters. */
export function mayDispatch({ state, now }: EventContext): boolean {
  const { ownership } = state;
  return (
    ownership !== undefined &&
    now < ownership.dispatchUntil &&
    state.reachability === "up" &&
    !state.leaving &&
    !state.draining
  );
}

/** Updates an exponentially weighted moving average. */
export function updateAverage(previous: number, observed: number): number {
  const WEIGHT = 0.2;
  return previous + WEIGHT * (observed - previous);
}
