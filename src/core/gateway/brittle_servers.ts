import { type Millis, millis } from "../clock.ts";
import type { ServerId } from "../ids.ts";
import type { Incarnation } from "./servers.ts";

/** Minimum time between two changes of the room upwards, in ms. */
const minGrowthInterval = 500;
/** Part of the tolerated rejections that the nodes together risk. */
const riskedPart = 0.15;
/** Hold after a rejection beside other requests of this node, which keep their room, in ms. */
const shortHold = 250;
/** Longest time for which a node sends nothing after rejections, in ms, if its share of the tolerance allows for it. */
const maxHold = 5_000;
/** Highest tolerance that counts, in rejections a second. */
const maxTolerance = 1_000;

/** What one node sends to a server that falls over if it has to reject too many requests. */
type BrittleServer = {
  /** Rejections a second that the server bears, from all nodes. */
  tolerance: number;
  readonly born: number | undefined;
  /** Requests that this node has at the server at most. */
  room: number;
  /** Time from which the room may grow. */
  growsAt: Millis;
  /** Time until which the node sends nothing. */
  heldUntil: Millis;
  /** Rejections of single requests in a row. */
  rejections: number;
};

/** Servers that say that they are brittle. */
export type BrittleServers = Map<ServerId, BrittleServer>;

/** The nodes among which the tolerance of a server is shared, and the requests of this one at it. */
export type BrittleMoment = {
  readonly now: Millis;
  readonly nodes: number;
  readonly inFlight: number;
  /** Spreads the nodes over time. */
  readonly random: () => number;
};

/** Rejections a second that a server states to bear; undefined if the value is no such number. */
export function parseTolerance(value: string): number | undefined {
  const tolerance = Number(value);
  if (value.trim() === "" || !(tolerance >= 0)) return undefined;
  return Math.min(tolerance, maxTolerance);
}

/** Records that a server is brittle; a new incarnation begins with half of the room of the one before. */
export function recordTolerance(
  servers: BrittleServers,
  { id, born }: Incarnation,
  { tolerance, ...moment }: BrittleMoment & { readonly tolerance: number },
): void {
  const known = servers.get(id);
  if (known?.born === born && known !== undefined) {
    known.tolerance = tolerance;
    return;
  }
  const usual = known === undefined ? moment.inFlight : known.room >> 1;
  const never = millis(Number.NEGATIVE_INFINITY);
  servers.set(id, {
    tolerance,
    born,
    room: Math.max(1, usual),
    growsAt: planReturn(tolerance, moment),
    heldUntil: never,
    rejections: 0,
  });
}

/** Records that a brittle server had no room for a request of this node, which had `inFlight` others there. */
export function recordRejection(
  servers: BrittleServers,
  { id }: Incarnation,
  moment: BrittleMoment,
): void {
  const server = servers.get(id);
  if (server === undefined) return;
  const { inFlight } = moment;
  server.growsAt = planReturn(server.tolerance, moment);
  server.room = Math.max(1, Math.min(server.room, inFlight));
  if (inFlight > 0) {
    server.heldUntil = millis(moment.now + shortHold * (1 + moment.random()));
    return;
  }
  // Not even one request has room: the nodes return one after another.
  server.heldUntil = planReturn(server.tolerance, moment, server.rejections);
  server.rejections++;
}

/** Whether a brittle server should have room for one more request of this node, its room as it is or grown by one; true for others. */
export function mayHaveRoom(
  servers: BrittleServers,
  { id, born }: Incarnation,
  { now, inFlight }: BrittleMoment,
): boolean {
  const server = servers.get(id);
  if (server === undefined) return true;
  // A new incarnation says so in its first answer; until then it gets single requests.
  if (server.born !== born) return inFlight === 0;
  if (now < server.heldUntil) return false;
  return inFlight < server.room || now >= server.growsAt;
}

/** Whether a brittle server should have room, which grows by the request if it is due to. */
export function hasRoom(
  servers: BrittleServers,
  incarnation: Incarnation,
  moment: BrittleMoment,
): boolean {
  if (!mayHaveRoom(servers, incarnation, moment)) return false;
  const server = servers.get(incarnation.id);
  if (server === undefined || server.born !== incarnation.born) return true;
  if (moment.inFlight < server.room) return true;
  server.room++;
  server.growsAt = planReturn(server.tolerance, moment);
  return true;
}

/** Records that a server has served a request of this node. */
export function recordServed(servers: BrittleServers, id: ServerId): void {
  const server = servers.get(id);
  if (server !== undefined) server.rejections = 0;
}

/** When this node may risk a further rejection: the nodes together stay far below the tolerance. */
function planReturn(
  tolerance: number,
  { now, nodes, random }: BrittleMoment,
  rejections = 0,
): Millis {
  const shared = (nodes * 1_000) / Math.max(1, tolerance * riskedPart);
  const interval = Math.max(minGrowthInterval, shared);
  const delay = Math.min(
    Math.max(maxHold, interval),
    interval * 2 ** rejections,
  );
  return millis(now + delay * (1 + random()));
}
