import { type Millis, millis } from "../clock.ts";

/** Load permits of the whole installation: the in-flight limit of the weight store. */
export const totalPermits = 8;

/** Numbers of the load budget; see design 5.4 and 7. */
export type LoadLimits = {
  /** Time in which a used permit becomes usable again, in ms. */
  readonly refill: Millis;
  /** Longest time that a load may take, in ms; a permit in use longer counts as lost. */
  readonly loadDeadline: Millis;
  /** Time for which a permit beyond the kept ones stays unused before it is returned, in ms. */
  readonly idleReturn: Millis;
  /** Time for which the last usable permit stays unused before a prefetch may have it, in ms. */
  readonly prefetchDelay: Millis;
  /** Time between reads of the row while the node waits for a permit, in ms; at most 32 nodes wait in the row, which makes 128 reads/s. */
  readonly waitPoll: Millis;
  /** The same for a node that the full waiting list has no room for, in ms. With 250 ms, 610 nodes that all waited made 1,125 reads/s. */
  readonly unlistedPoll: Millis;
  /** Time between reads of the row while the node holds a full permit that others may wait for, in ms. A period of 1 s left full permits idle for a fifth of the time with 610 nodes. */
  readonly holderPoll: Millis;
  /** First and longest delay after a conflict or a failed call, in ms. */
  readonly firstBackoff: Millis;
  readonly longestBackoff: Millis;
};

/** Limits for a weight store of 3 loads a second and 8 in flight. */
export const defaultLoadLimits: LoadLimits = {
  // 8 permits at one load per 8/3 s each make 3 loads a second.
  refill: millis((1000 * totalPermits) / 3),
  loadDeadline: millis(10_000),
  idleReturn: millis(100),
  prefetchDelay: millis(2000),
  waitPoll: millis(250),
  unlistedPoll: millis(4000),
  holderPoll: millis(250),
  firstBackoff: millis(20),
  longestBackoff: millis(4000),
};

/** Leases in the waiting list of the row; more ask again later. */
export const waitingLimit = 32;

/** Permit requests of engine owners that wait at one node. */
export const requestLimit = 64;
