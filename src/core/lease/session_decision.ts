import { type Millis, millis } from "../clock.ts";
import type { Decide } from "../decision.ts";
import type { AttemptToken, EngineId, RowKey } from "../ids.ts";
import { applyAttempt, applyRows, dropEngine } from "./apply_results.ts";
import { reportOwnership } from "./ownership.ts";
import {
  computeAssigned,
  findMisplaced,
  isSweeper,
  planClaims,
  planHandovers,
  planReads,
  planRemovals,
} from "./plan.ts";
import { type StoredRow, sessionPrefix } from "./rows.ts";
import type {
  Attempt,
  LiveNode,
  SessionCommand,
  SessionEngine,
  SessionEvent,
  SessionState,
} from "./state.ts";

/** Maximum jitter added to a retry, as a share of its delay. */
const retryJitter = 0.5;

/** Random source of the session decision, for jitter. */
export type SessionOptions = { readonly random: () => number };

/** Builds the decision function of a node's session lease and of the engines it owns. */
export function createSessionDecision(
  options: SessionOptions,
): Decide<SessionState, SessionEvent, SessionCommand> {
  return (state, event, now) => {
    const commands: SessionCommand[] = [];
    if (state.phase !== "released") {
      handleEvent(state, event, { now, commands, random: options.random });
      startNextCall(state, now, commands);
    }
    return { state, commands };
  };
}

/** Time and random source of one event, and the commands that follow from it. */
type EventContext = {
  readonly now: Millis;
  readonly commands: SessionCommand[];
  readonly random: () => number;
};

function handleEvent(
  state: SessionState,
  event: SessionEvent,
  context: EventContext,
): void {
  switch (event.type) {
    case "tick":
      updateMembers(state, event.live, event.engines);
      confirmOutage(state, event.outageConfirmedAt, context);
      break;
    case "committed":
      handleCommit(state, context);
      break;
    case "conflicted":
      handleConflict(state, event.current, context);
      break;
    case "transaction-failed":
      handleFailure(state, event.kind, context);
      break;
    case "rows":
      state.busy = "no";
      state.readAt = millis(context.now + state.settings.pollInterval);
      applyRows(state, event.rows, context);
      break;
    case "read-failed":
      state.busy = "no";
      startOutage(state, context);
      break;
    case "refresh":
      state.readAt = context.now;
      break;
    case "release":
      startRelease(state, context);
      break;
  }
}

function isSameList(a: readonly LiveNode[], b: readonly LiveNode[]): boolean {
  if (a === b) return true;
  return (
    a.length === b.length &&
    a.every((peer, index) => peer.node === b[index]?.node)
  );
}

function updateMembers(
  state: SessionState,
  live: readonly LiveNode[],
  engines: readonly SessionEngine[],
): void {
  const isSame =
    isSameList(live, state.live) &&
    engines.length === state.engines.size &&
    engines.every((entry) => state.engines.has(entry.engine));
  if (isSame) return;
  state.live = live;
  state.engines = new Map(
    engines.map((entry) => [entry.engine, entry.fencing]),
  );
  state.assigned = computeAssigned(state);
  state.readAt = millis(Number.NEGATIVE_INFINITY);
}

function handleCommit(state: SessionState, context: EventContext): void {
  const attempt = state.current;
  state.busy = "no";
  state.current = undefined;
  if (attempt === undefined) return;
  state.unresolved.clear();
  const { version } = attempt;
  // The version of a created row is only known after a read.
  state.stale = version === "absent";
  const next = version === "absent" ? version : version + 1;
  applyAttempt(state, attempt, { ...context, version: next });
}

function handleConflict(
  state: SessionState,
  current: ReadonlyMap<RowKey, StoredRow | undefined>,
  context: EventContext,
): void {
  state.busy = "no";
  state.current = undefined;
  // Rows that another node changed first are read again before the next claim.
  state.readAt = context.now;
  state.renewAt = context.now;
  applyRows(state, current, context);
}

function handleFailure(
  state: SessionState,
  kind: "unavailable" | "unknown",
  context: EventContext,
): void {
  const attempt = state.current;
  state.busy = "no";
  state.current = undefined;
  if (attempt !== undefined && kind === "unknown") {
    state.unresolved.set(attempt.token, attempt);
    state.stale = true;
    context.commands.push({ type: "record", event: "writeAmbiguous" });
  }
  startOutage(state, context);
}

/** Extends the time for dispatches while no node of the data centre reaches the table. */
function confirmOutage(
  state: SessionState,
  confirmedAt: Millis | undefined,
  context: EventContext,
): void {
  if (!state.failing || confirmedAt === undefined) return;
  if (confirmedAt <= state.outageConfirmedAt) return;
  state.outageConfirmedAt = confirmedAt;
  reportOwnership(state, context.commands);
}

function startOutage(state: SessionState, context: EventContext): void {
  const { retryDelay } = state.settings;
  const wait = retryDelay * (1 + retryJitter * context.random());
  state.renewAt = millis(context.now + wait);
  state.readAt = state.renewAt;
  if (state.failing) return;
  state.failing = true;
  reportOwnership(state, context.commands);
}

function startRelease(state: SessionState, context: EventContext): void {
  if (state.phase === "releasing") return;
  state.releaseBy = millis(context.now + state.settings.handoverTimeout);
  state.phase = "releasing";
  state.readAt = context.now;
  for (const engine of [...state.owned.keys()])
    releaseEngine(state, engine, context);
}

/** Ends the ownership before the row is rewritten, so that two owners never send orders at the same time. */
function releaseEngine(
  state: SessionState,
  engine: EngineId,
  context: EventContext,
): void {
  const owned = state.owned.get(engine);
  if (owned === undefined) return;
  const isSettled =
    state.engines.get(engine) !== "ignored" || context.now >= owned.settledAt;
  state.pendingHandovers.set(engine, {
    fence: owned.fence,
    settled: isSettled,
  });
  state.rows.delete(engine);
  dropEngine(state, engine, context.commands);
}

/** Starts the next table call if it is due and none is in flight. */
function startNextCall(
  state: SessionState,
  now: Millis,
  commands: SessionCommand[],
): void {
  if (state.phase === "releasing" && isReleaseOver(state, now)) {
    state.phase = "released";
    commands.push({
      type: "released",
      handed: state.pendingHandovers.size === 0,
    });
    return;
  }
  // An engine released in an outage would have no owner until the outage ends.
  if (state.phase === "held" && !state.failing) {
    for (const engine of findMisplaced(state, now)) {
      releaseEngine(state, engine, { now, commands, random: () => 0 });
    }
  }
  if (state.busy !== "no") return;
  if (!state.stale && transactIfDue(state, now, commands)) return;
  readIfDue(state, now, commands);
}

/** Whether the release ends without a rewrite of the rows; other nodes then wait for the lease to end. */
function isReleaseOver(state: SessionState, now: Millis): boolean {
  const hasNothing = state.version === "absent" && !state.stale;
  const isOver = now >= state.releaseBy + state.settings.handoverTimeout;
  return state.busy === "no" && (hasNothing || isOver);
}

function transactIfDue(
  state: SessionState,
  now: Millis,
  commands: SessionCommand[],
): boolean {
  const isRetryDue = !state.failing || now >= state.renewAt;
  const isReleasing = state.phase === "releasing";
  const mayClaim = state.phase === "held" && isRetryDue;
  const claims = mayClaim ? planClaims(state, now) : [];
  const removals = mayClaim ? planRemovals(state, claims, now) : [];
  const free = isReleasing && now >= state.releaseBy;
  const handovers = isRetryDue ? planHandovers(state, { free }) : [];
  const isLast =
    isReleasing && handovers.length === state.pendingHandovers.size;
  const hasWork = claims.length + removals.length + handovers.length > 0;
  const isDue = isReleasing ? isLast && isRetryDue : now >= state.renewAt;
  if (!hasWork && !isDue) return false;
  const attempt: Attempt = {
    token: `${state.lease}:${++state.sequence}` as AttemptToken,
    sentAt: now,
    version: state.version,
    lease: state.lease,
    claims,
    removals,
    handovers,
    last: isLast,
  };
  state.busy = "transaction";
  state.current = attempt;
  commands.push({ type: "transact", attempt });
  return true;
}

function readIfDue(
  state: SessionState,
  now: Millis,
  commands: SessionCommand[],
): void {
  if (state.phase === "acquiring" && !state.stale) return;
  if (now >= state.readAt) {
    const keys = planReads(state);
    if (keys.length > 0) {
      state.busy = "read";
      commands.push({ type: "read", keys });
      return;
    }
  }
  if (state.phase !== "held" || state.failing || now < state.sweepAt) return;
  state.sweepAt = millis(now + state.settings.sweepInterval);
  if (!isSweeper(state)) return;
  state.busy = "read";
  commands.push({ type: "scan", prefix: sessionPrefix });
}

/** Whether the node may act under its lease, by its own clock. */
export function isLeaseUsable(state: SessionState, now: Millis): boolean {
  return now < state.leaseEnd - state.settings.margin;
}
