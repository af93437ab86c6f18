import { type Millis, millis } from "../clock.ts";

/** Number of load permits of the whole installation: the in-flight limit of the weight store. */
export const totalPermits = 8;

/** Limits and periods of the load budget; see design 5.4 and 7. */
export type LoadLimits = {
  /** Time after its grant when a used permit may be granted again, in ms. */
  readonly refill: Millis;
  /** Maximum duration of a load, in ms; a grant that is not released by then expires. */
  readonly loadTimeout: Millis;
  /** Idle time after which a permit beyond the reserved ones is returned, in ms. */
  readonly idleReturn: Millis;
  /** Idle time after which the last ready permit may be granted to a prefetch, in ms. */
  readonly prefetchDelay: Millis;
  /** Time between reads of the row while the node waits for a permit, in ms; at most 32 nodes wait in the row, which makes 128 reads/s. */
  readonly waitPoll: Millis;
  /** Time between reads of the row while the waiting list is full and the node is not on it, in ms. At 250 ms, 610 waiting nodes made 1,125 reads/s. */
  readonly unlistedPoll: Millis;
  /** Time between reads of the row while the node holds a refilled permit that others may wait for, in ms. At 1 s, refilled permits of 610 nodes were idle for a fifth of the time. */
  readonly holderPoll: Millis;
  /** Minimum and maximum delay after a conflict or a failed call, in ms. */
  readonly minBackoff: Millis;
  readonly maxBackoff: Millis;
};

/** Limits for a weight store of 3 loads a second and 8 in flight. */
export const defaultLoadLimits: LoadLimits = {
  // 8 permits at one load per 8/3 s each make 3 loads a second.
  refill: millis((1000 * totalPermits) / 3),
  loadTimeout: millis(10_000),
  idleReturn: millis(100),
  prefetchDelay: millis(2000),
  waitPoll: millis(250),
  unlistedPoll: millis(4000),
  holderPoll: millis(250),
  minBackoff: millis(20),
  maxBackoff: millis(4000),
};

/** Maximum number of leases on the waiting list of the row; further ones poll at `unlistedPoll`. */
export const waitingLimit = 32;

/** Maximum number of permit requests that wait at one node. */
export const requestLimit = 64;
