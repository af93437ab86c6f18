import { type Millis, millis } from "../clock.ts";
import type { EngineId, LeaseId, NodeId, RowKey } from "../ids.ts";
import { computeSettledAt, reportOwnership } from "./ownership.ts";
import {
  enginePrefix,
  readEngineRow,
  readSessionRow,
  type StoredRow,
  sessionKey,
  sessionPrefix,
} from "./rows.ts";
import type {
  Attempt,
  KnownEngine,
  SessionCommand,
  SessionState,
} from "./state.ts";

/** Time at which a result of the table is handled, and the commands that follow from it. */
type ResultContext = {
  readonly now: Millis;
  readonly commands: SessionCommand[];
};

/** Drops an owned engine and reports the loss to its actor. */
export function dropEngine(
  state: SessionState,
  engine: EngineId,
  commands: SessionCommand[],
): void {
  if (!state.owned.delete(engine)) return;
  state.misplacedSince.delete(engine);
  const event = { type: "ownership-lost" } as const;
  commands.push({ type: "report", engine, event });
  commands.push({ type: "record", event: "engineReleased", engine });
}

/** Applies the effects of a transaction that is known to have committed. */
export function applyAttempt(
  state: SessionState,
  attempt: Attempt,
  context: ResultContext & { readonly version: number | "absent" },
): void {
  const { now, commands } = context;
  const { duration, renewInterval } = state.settings;
  state.unresolved.clear();
  state.failing = false;
  for (const { engine } of attempt.handovers) {
    state.pendingHandovers.delete(engine);
    state.rows.delete(engine);
  }
  for (const removal of attempt.removals) {
    state.sessions.set(removal.node, "absent");
  }
  if (attempt.last) {
    state.phase = "released";
    commands.push({ type: "released", handed: true });
    return;
  }
  state.version = context.version;
  state.leaseEnd = millis(attempt.sentAt + duration);
  state.renewAt = millis(attempt.sentAt + renewInterval);
  if (state.phase === "acquiring") {
    state.phase = "held";
    state.readAt = now;
    commands.push({ type: "record", event: "leaseAcquired" });
  }
  for (const { engine, fence, predecessor } of attempt.claims) {
    state.rows.delete(engine);
    if (state.phase === "releasing") {
      state.pendingHandovers.set(engine, {
        fence,
        settled: predecessor === "none",
      });
      continue;
    }
    const settledAt = computeSettledAt(state, engine, { predecessor, now });
    state.owned.set(engine, { fence, settledAt });
    commands.push({ type: "record", event: "engineOwned", engine });
  }
  reportOwnership(state, commands);
}

/** Applies rows that were read or returned with a conflict. */
export function applyRows(
  state: SessionState,
  rows: ReadonlyMap<RowKey, StoredRow | undefined>,
  context: ResultContext,
): void {
  const ownKey = sessionKey(state.node);
  for (const [key, row] of rows) {
    if (key === ownKey) continue;
    if (key.startsWith(sessionPrefix)) {
      applySessionRow(state, key.slice(sessionPrefix.length) as NodeId, {
        row,
        now: context.now,
      });
    }
  }
  if (rows.has(ownKey)) applyOwnRow(state, rows.get(ownKey), context);
  for (const [key, row] of rows) {
    if (!key.startsWith(enginePrefix)) continue;
    const engine = key.slice(enginePrefix.length) as EngineId;
    applyEngineRow(state, engine, { ...context, row });
  }
}

function applySessionRow(
  state: SessionState,
  node: NodeId,
  seen: { readonly row: StoredRow | undefined; readonly now: Millis },
): void {
  const session = readSessionRow(seen.row?.value);
  if (seen.row === undefined || session === undefined) {
    state.sessions.set(node, "absent");
    return;
  }
  const known = state.sessions.get(node);
  const { version } = seen.row;
  const isUnchanged =
    known !== undefined && known !== "absent" && known.version === version;
  const since = isUnchanged ? known.since : seen.now;
  state.sessions.set(node, { ...session, version, since });
}

/** Applies the node's own row, which shows whether a transaction without an answer committed. */
function applyOwnRow(
  state: SessionState,
  row: StoredRow | undefined,
  context: ResultContext,
): void {
  state.stale = false;
  const attempts = [...state.unresolved.values()];
  if (row === undefined) {
    if (attempts.some((attempt) => attempt.last)) {
      state.phase = "released";
      context.commands.push({ type: "released", handed: true });
    } else if (state.version !== "absent") {
      handleLeaseLost(state, context);
    }
    return;
  }
  const applied = attempts.find((attempt) => attempt.token === row.attempt);
  if (applied !== undefined) {
    applyAttempt(state, applied, { ...context, version: row.version });
    return;
  }
  const isOwn = readSessionRow(row.value)?.lease === state.lease;
  if (!isOwn && state.phase !== "acquiring") {
    handleLeaseLost(state, context);
    return;
  }
  // An attempt without an answer may still reach the table. The next transaction
  // either commits before it, or conflicts with it and finds its token.
  state.version = row.version;
}

/** Another node deleted the session row: all ownership under this lease is void. */
function handleLeaseLost(state: SessionState, context: ResultContext): void {
  context.commands.push({ type: "record", event: "leaseLost" });
  for (const engine of [...state.owned.keys()]) {
    dropEngine(state, engine, context.commands);
  }
  state.pendingHandovers.clear();
  state.unresolved.clear();
  state.rows.clear();
  state.lease = `${state.node}/${++state.leaseNumber}` as LeaseId;
  state.version = "absent";
  state.leaseEnd = millis(Number.NEGATIVE_INFINITY);
  state.renewAt = context.now;
  if (state.phase !== "releasing") state.phase = "acquiring";
}

function applyEngineRow(
  state: SessionState,
  engine: EngineId,
  seen: ResultContext & { readonly row: StoredRow | undefined },
): void {
  const { row, now, commands } = seen;
  const fields = readEngineRow(row?.value);
  const known: KnownEngine =
    row === undefined || fields === undefined
      ? "absent"
      : { ...fields, version: row.version };
  state.rows.set(engine, known);
  const isOwner =
    known !== "absent" &&
    known.owner === state.node &&
    known.lease === state.lease;
  if (!isOwner) {
    state.pendingHandovers.delete(engine);
    dropEngine(state, engine, commands);
    return;
  }
  if (state.owned.has(engine) || state.pendingHandovers.has(engine)) return;
  if (state.phase !== "held") {
    if (state.phase === "releasing") {
      const settled = known.handed;
      state.pendingHandovers.set(engine, { fence: known.fence, settled });
    }
    return;
  }
  const predecessor = known.handed ? "stopped" : "unknown";
  const settledAt = computeSettledAt(state, engine, { predecessor, now });
  state.owned.set(engine, { fence: known.fence, settledAt });
  commands.push({ type: "record", event: "engineOwned", engine });
  reportOwnership(state, commands);
}
