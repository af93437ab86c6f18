import { type Millis, millis } from "../clock.ts";
import type { ServerId } from "../ids.ts";
import type { Incarnation } from "./servers.ts";

/** Time for which a server that had no room is asked for none, at the first rejection and at most, in ms. */
const minHold = 40;
const maxHold = 1_000;

type FullServer = {
  readonly born: number | undefined;
  /** Rejections since the server last served a request of this node. */
  rejections: number;
  until: Millis;
};

/** Servers that had no room for the latest request of this node. */
export type FullServers = Map<ServerId, FullServer>;

/** Records that a server had no room; `share` in [0, 1) spreads the nodes over time. */
export function recordNoRoom(
  servers: FullServers,
  { id, born }: Incarnation,
  { now, share }: { readonly now: Millis; readonly share: number },
): void {
  const known = servers.get(id);
  const isKnown = known !== undefined && known.born === born;
  // Requests that were sent together say the same thing together.
  if (isKnown && now < known.until) return;
  const rejections = isKnown ? known.rejections + 1 : 1;
  const hold = Math.min(maxHold, minHold * 2 ** (rejections - 1));
  const until = millis(now + hold * (1 + share));
  servers.set(id, { born, rejections, until });
}

/** Records that a server has served a request, so that it has room for another one. */
export function recordRoom(servers: FullServers, id: ServerId): void {
  servers.delete(id);
}

/** Whether a server had no room a short time ago. */
export function isFull(
  servers: FullServers,
  { id, born }: Incarnation,
  now: Millis,
): boolean {
  const server = servers.get(id);
  return server !== undefined && server.born === born && now < server.until;
}
