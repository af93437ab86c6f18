import { type Millis, millis } from "../clock.ts";

/** How urgent a request for an adapter is, as a node tells it to the owner of an engine. */
export type LoadUrgency = {
  /** Level at which engines queue the request; 0 is the most urgent. */
  readonly level: number;
  /** Time from now until the request's turn among those of its level, in ms; below 0 if that has passed. */
  readonly delay: number;
};

/** Urgency of requests of nodes that tell none. */
export const usualLoadUrgency: LoadUrgency = { level: 5, delay: 0 };

/** Time of waiting that raises a load by one level, in ms, so that none is put off for good. */
const ageingInterval = 150;

/** Turn of a pending load, by the clock of the engine's owner. */
export type LoadTurn = {
  readonly level: number;
  readonly at: Millis;
  readonly since: Millis;
};

/** Describes the turn of a load that is requested now. */
export function createLoadTurn(
  { level, delay }: LoadUrgency,
  now: Millis,
): LoadTurn {
  return { level, at: millis(now + delay), since: now };
}

/** Orders pending loads by level, which waiting raises, and then by their turns; negative if `a` goes first. */
export function compareLoadTurns(
  a: LoadTurn,
  b: LoadTurn,
  now: Millis,
): number {
  return findLevel(a, now) - findLevel(b, now) || a.at - b.at;
}

/** The turn of a load that two requests wait for: as urgent as the more urgent one, and as old as the older one. */
export function joinLoadTurns(a: LoadTurn, b: LoadTurn): LoadTurn {
  return {
    level: Math.min(a.level, b.level),
    at: millis(Math.min(a.at, b.at)),
    since: millis(Math.min(a.since, b.since)),
  };
}

function findLevel({ level, since }: LoadTurn, now: Millis): number {
  return level - Math.floor((now - since) / ageingInterval);
}
