import { type Millis, millis } from "../clock.ts";
import type { ServerId } from "../ids.ts";
import type { Incarnation } from "./servers.ts";

/** Time after a pause, in ms, within which the rate of requests grows back. */
const slowStartTime = 2_000;
/** Multiple of the usual rate that slow start allows; it doubles after the first half. */
const slowStartFactor = 1.5;
/**
 * Time in which the number of requests that slow start allows doubles, from one
 * on, in ms; for servers whose usual rate is low or not known.
 */
const doublingTime = 200;
/** Time constant of the moving average of the send rate, in ms. */
const rateTimeConstant = 2_000;
/** Bounds of the time after a pause over which refused callers return, in ms. */
const minReturnSpread = 500;
const maxReturnSpread = 1_000;

/** Moving average of the requests sent to a server. */
type SendRate = { weight: number; at: Millis };

type Pause = {
  readonly born: number | undefined;
  readonly startedAt: Millis;
  until: Millis;
  /** Requests per ms before the pause. */
  readonly usualRate: number;
  /** Requests sent since the pause ended. */
  sends: number;
};

/** Pauses that servers asked this node for; each holds for one incarnation. */
export type ServerPauses = {
  readonly pauses: Map<ServerId, Pause>;
  readonly rates: Map<ServerId, SendRate>;
};

/** Time from which a paused server takes requests again. */
export type Resumption = {
  readonly server: ServerId;
  readonly at: Millis;
  /** Length of the pause, in ms; 0 if the server only limits the rate after one. */
  readonly pauseLength: Millis;
  /** The server takes no request because of its limit for all nodes, not of a pause. */
  readonly isLimit?: boolean;
};

/** Creates the state of a node without pauses. */
export function createServerPauses(): ServerPauses {
  return { pauses: new Map(), rates: new Map() };
}

/** Records a pause from `now` on; the longer one counts. True if the server was not paused before. */
export function recordPause(
  { pauses, rates }: ServerPauses,
  server: Incarnation,
  { duration, now }: { readonly duration: Millis; readonly now: Millis },
): boolean {
  const until = millis(now + duration);
  const known = findPause(pauses, server);
  if (known !== undefined && now < known.until) {
    known.until = millis(Math.max(known.until, until));
    return false;
  }
  if (duration <= 0) return false;
  const currentRate = readRate(rates.get(server.id), now);
  // A pause that follows soon after another one has seen few requests.
  const isRenewed =
    known !== undefined && now < known.until + rateTimeConstant * 2;
  pauses.set(server.id, {
    born: server.born,
    startedAt: now,
    until,
    usualRate: isRenewed ? Math.max(known.usualRate, currentRate) : currentRate,
    sends: 0,
  });
  return true;
}

/** Whether a server wants nothing from this node at the moment. */
export function isPaused(
  { pauses }: ServerPauses,
  server: Incarnation,
  now: Millis,
): boolean {
  const pause = findPause(pauses, server);
  return pause !== undefined && now < pause.until;
}

/**
 * When a server that takes no further request now takes the next one: at the
 * end of its pause, or when slow start allows it. Undefined if it takes one now.
 */
export function findResumption(
  { pauses }: ServerPauses,
  server: Incarnation,
  now: Millis,
): Resumption | undefined {
  const pause = findPause(pauses, server);
  if (pause === undefined) return undefined;
  const { startedAt, until } = pause;
  if (now < until)
    return {
      server: server.id,
      at: until,
      pauseLength: millis(until - startedAt),
    };
  const elapsed = now - until;
  if (elapsed >= slowStartTime) return undefined;
  const next = pause.sends + 1;
  if (next <= countSlowStartSends(pause, elapsed)) return undefined;
  const rate = pause.usualRate * slowStartFactor;
  const delay = Math.min(doublingTime, 1 / rate);
  const at = Math.min(until + slowStartTime, now + delay);
  return { server: server.id, at: millis(at), pauseLength: millis(0) };
}

/** Earliest resumption of servers that all take no request now; undefined if one of them does. */
export function findEarliestResumption(
  pauses: ServerPauses,
  servers: readonly Incarnation[],
  now: Millis,
): Resumption | undefined {
  let earliest: Resumption | undefined;
  for (const server of servers) {
    const resumption = findResumption(pauses, server, now);
    if (resumption === undefined) return undefined;
    if (earliest === undefined || resumption.at < earliest.at)
      earliest = resumption;
  }
  return earliest;
}

/** Counts a request that is sent to a server. */
export function recordSend(
  { pauses, rates }: ServerPauses,
  server: Incarnation,
  now: Millis,
): void {
  const pause = findPause(pauses, server);
  if (pause !== undefined && now >= pause.until) pause.sends++;
  const rate = rates.get(server.id);
  const weight = 1 + readRate(rate, now) * rateTimeConstant;
  rates.set(server.id, { weight, at: now });
}

/** Removes the state of servers that are gone, except pauses that have not ended. */
export function removeEndedPauses(
  { pauses, rates }: ServerPauses,
  isKnown: (id: ServerId) => boolean,
  now: Millis,
): void {
  for (const id of rates.keys()) if (!isKnown(id)) rates.delete(id);
  for (const [id, { until }] of pauses) {
    if (now >= until + slowStartTime) pauses.delete(id);
  }
}

/**
 * Time until a refused caller may return, in ms. The returns are spread evenly
 * over a time after the pause, so that the callers that were refused in it do
 * not come back together; `share` is drawn from [0, 1).
 */
export function computeReturnDelay(
  { at, pauseLength }: Resumption,
  { now, share }: { readonly now: Millis; readonly share: number },
): Millis {
  const spread = Math.min(
    maxReturnSpread,
    Math.max(minReturnSpread, pauseLength),
  );
  return millis(at - now + share * spread);
}

function findPause(
  pauses: Map<ServerId, Pause>,
  server: Incarnation,
): Pause | undefined {
  const pause = pauses.get(server.id);
  return pause?.born === server.born ? pause : undefined;
}

/** Requests that slow start allows until `elapsed` ms after the pause. */
function countSlowStartSends({ usualRate }: Pause, elapsed: number): number {
  const half = slowStartTime / 2;
  const weightedTime = elapsed + Math.max(0, elapsed - half);
  const allowed = usualRate * slowStartFactor * weightedTime;
  return Math.max(allowed, 2 ** (elapsed / doublingTime));
}

/** Requests per ms. */
function readRate(rate: SendRate | undefined, now: Millis): number {
  if (rate === undefined) return 0;
  const decay = Math.exp(-(now - rate.at) / rateTimeConstant);
  return (rate.weight * decay) / rateTimeConstant;
}
