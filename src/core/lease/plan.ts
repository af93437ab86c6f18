import type { Millis } from "../clock.ts";
import {
  brandNumber,
  type DataCentre,
  type EngineId,
  type FencingNumber,
  type NodeId,
  type RowKey,
} from "../ids.ts";
import { assignByRendezvous, chooseByRendezvous } from "./rendezvous.ts";
import { engineKey, sessionKey } from "./rows.ts";
import {
  type Claim,
  type Handover,
  maxEnginesPerTransaction,
  maxRowsPerRead,
  type Removal,
  type SessionState,
} from "./state.ts";

/** Live nodes of the own data centre other than the excluded one. */
function listNodes(
  state: SessionState,
  options: { except?: NodeId } = {},
): NodeId[] {
  return state.live
    .filter(
      (peer) =>
        peer.dataCentre === state.dataCentre && peer.node !== options.except,
    )
    .map((peer) => peer.node);
}

/** Engines that rendezvous hashing over the live nodes assigns to this node. */
export function computeAssigned(state: SessionState): Set<EngineId> {
  const nodes = listNodes(state);
  if (!nodes.includes(state.node)) nodes.push(state.node);
  const assigned = new Set<EngineId>();
  for (const [engine, node] of assignByRendezvous(
    state.engines.keys(),
    nodes,
  )) {
    if (node === state.node) assigned.add(engine);
  }
  return assigned;
}

/** Whether a session row has not changed for a whole lease and its node is not live. */
function isExpired(state: SessionState, node: NodeId, now: Millis): boolean {
  const session = state.sessions.get(node);
  if (session === undefined || session === "absent") return false;
  if (state.live.some((peer) => peer.node === node)) return false;
  return now - session.since >= state.settings.duration;
}

function nextFence(fence: number): FencingNumber {
  return brandNumber(fence + 1);
}

/** Claim with which an engine can be taken now; undefined while its owner may still act. */
function planClaim(
  state: SessionState,
  engine: EngineId,
  now: Millis,
): Claim | undefined {
  const row = state.rows.get(engine);
  if (row === undefined) return undefined;
  if (row === "absent") {
    return {
      engine,
      fence: nextFence(0),
      version: "absent",
      predecessor: "none",
    };
  }
  const claim = { engine, fence: nextFence(row.fence), version: row.version };
  if (row.owner === null) {
    return { ...claim, predecessor: row.handed ? "stopped" : "unknown" };
  }
  if (row.owner === state.node) {
    return row.lease === state.lease
      ? undefined
      : { ...claim, predecessor: "unknown" };
  }
  const session = state.sessions.get(row.owner);
  if (session === undefined) return undefined;
  const hasEnded = session === "absent" || session.lease !== row.lease;
  if (hasEnded || isExpired(state, row.owner, now)) {
    const version = session === "absent" ? session : session.version;
    const basis = { node: row.owner, version };
    return { ...claim, predecessor: "unknown", basis };
  }
  return undefined;
}

/** Claims of assigned engines that can be taken now, up to the limit of one transaction. */
export function planClaims(state: SessionState, now: Millis): Claim[] {
  const claims: Claim[] = [];
  for (const engine of state.assigned) {
    if (state.owned.has(engine) || state.pendingHandovers.has(engine)) continue;
    const claim = planClaim(state, engine, now);
    if (claim !== undefined) claims.push(claim);
    if (claims.length >= maxEnginesPerTransaction) break;
  }
  return claims;
}

/** Whether this node removes expired sessions for its data centre. */
export function isSweeper(state: SessionState): boolean {
  const key = `sweep/${state.dataCentre}`;
  return chooseByRendezvous(key, listNodes(state)) === state.node;
}

/**
 * Whether this node removes the expired sessions of a data centre. Another data
 * centre is responsible for one without live nodes.
 */
function isSweeperFor(state: SessionState, dataCentre: DataCentre): boolean {
  const liveCentres = new Set(state.live.map((peer) => peer.dataCentre));
  const responsible = liveCentres.has(dataCentre)
    ? dataCentre
    : chooseByRendezvous(`sweep/${dataCentre}`, liveCentres);
  return responsible === state.dataCentre && isSweeper(state);
}

/** Expired sessions that this node removes: those of owners whose engines it takes, and those found by its sweep. */
export function planRemovals(
  state: SessionState,
  claims: readonly Claim[],
  now: Millis,
): Removal[] {
  const owners = new Set<NodeId>();
  for (const claim of claims) {
    const row = state.rows.get(claim.engine);
    if (row !== undefined && row !== "absent" && row.owner !== null) {
      owners.add(row.owner);
    }
  }
  const removals: Removal[] = [];
  for (const [node, session] of state.sessions) {
    if (session === "absent" || !isExpired(state, node, now)) continue;
    if (owners.has(node) || isSweeperFor(state, session.dataCentre)) {
      removals.push({ node, lease: session.lease, version: session.version });
    }
  }
  return removals.slice(0, maxEnginesPerTransaction);
}

/** New owners of the engines that this node hands over. */
function chooseSuccessors(state: SessionState): Map<EngineId, NodeId> {
  if (state.pendingHandovers.size === 0) return new Map();
  const others = listNodes(state, { except: state.node });
  return assignByRendezvous(state.engines.keys(), others);
}

/** Handovers of released engines whose rows and successors are known; with `free`, no successor is chosen. */
export function planHandovers(
  state: SessionState,
  options: { free: boolean },
): Handover[] {
  const handovers: Handover[] = [];
  const successors = chooseSuccessors(state);
  for (const [engine, { fence, settled }] of state.pendingHandovers) {
    const row = state.rows.get(engine);
    if (row === undefined || row === "absent") continue;
    const node = successors.get(engine);
    const session = node === undefined ? "absent" : state.sessions.get(node);
    const { version } = row;
    const base = { engine, fence: nextFence(fence), version, settled };
    if (options.free || node === undefined || session === "absent") {
      handovers.push({ ...base, successor: null });
    } else if (session !== undefined) {
      // If the successor's lease ends meanwhile, the engine can be taken at once.
      const successor = { node, lease: session.lease };
      handovers.push({ ...base, successor });
    }
    if (handovers.length >= maxEnginesPerTransaction) break;
  }
  return handovers;
}

/** Rows to read before the next transaction; empty when no claim or handover is pending. */
export function planReads(state: SessionState): RowKey[] {
  const keys = new Set<RowKey>();
  if (state.stale) keys.add(sessionKey(state.node));
  const successors = chooseSuccessors(state);
  for (const engine of state.pendingHandovers.keys()) {
    keys.add(engineKey(engine));
    const successor = successors.get(engine);
    if (successor !== undefined) keys.add(sessionKey(successor));
  }
  for (const engine of state.assigned) {
    if (state.owned.has(engine)) continue;
    keys.add(engineKey(engine));
    const row = state.rows.get(engine);
    if (row === undefined || row === "absent" || row.owner === null) continue;
    if (row.owner !== state.node) keys.add(sessionKey(row.owner));
  }
  return [...keys].slice(0, maxRowsPerRead);
}

/** Owned engines that have been assigned to another live node for the rebalance delay. */
export function findMisplaced(state: SessionState, now: Millis): EngineId[] {
  const misplaced: EngineId[] = [];
  for (const engine of state.owned.keys()) {
    if (state.assigned.has(engine)) {
      state.misplacedSince.delete(engine);
      continue;
    }
    const since = state.misplacedSince.get(engine) ?? now;
    state.misplacedSince.set(engine, since);
    if (now - since >= state.settings.rebalanceDelay) misplaced.push(engine);
  }
  return misplaced;
}
