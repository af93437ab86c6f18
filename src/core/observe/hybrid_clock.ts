import type { Millis } from "../clock.ts";

/**
 * Timestamp of a hybrid logical clock: wall-clock ms, then a counter that
 * orders events within one ms and after messages from a clock that is ahead.
 */
export type HybridTime = {
  readonly wall: number;
  readonly counter: number;
};

/** Maximum lead of a remote clock that is accepted, in ms. */
const maxLeadMillis = 60_000;

/** Next stamp for a local event or a message to be sent. */
export function tickHybridTime(last: HybridTime, wall: Millis): HybridTime {
  return wall > last.wall
    ? { wall, counter: 0 }
    : { wall: last.wall, counter: last.counter + 1 };
}

/** Next stamp after a message with the stamp `remote`; ignores stamps too far ahead. */
export function mergeHybridTime(
  last: HybridTime,
  remote: HybridTime,
  wall: Millis,
): HybridTime {
  const known =
    remote.wall - wall <= maxLeadMillis && compareHybridTime(remote, last) > 0
      ? remote
      : last;
  return tickHybridTime(known, wall);
}

/** Negative when `a` is before `b`. */
export function compareHybridTime(a: HybridTime, b: HybridTime): number {
  return a.wall - b.wall || a.counter - b.counter;
}

/** Order of events of several nodes: by time, then by node. */
export function compareEvents(
  a: { readonly time: HybridTime; readonly node: string },
  b: { readonly time: HybridTime; readonly node: string },
): number {
  return compareHybridTime(a.time, b.time) || a.node.localeCompare(b.node);
}

/** Text form that sorts like the stamps; used in message headers. */
export function formatHybridTime(time: HybridTime): string {
  return `${time.wall}.${time.counter}`;
}

/** Reads the text form; undefined when it is malformed. */
export function parseHybridTime(
  text: string | undefined,
): HybridTime | undefined {
  const match = /^(\d{1,15})\.(\d{1,9})$/.exec(text ?? "");
  return match === null
    ? undefined
    : { wall: Number(match[1]), counter: Number(match[2]) };
}
