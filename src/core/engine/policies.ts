import type { Millis } from "../clock.ts";
import type { AdapterKey } from "../ids.ts";
import type { Priority, WorkItem } from "./work_item.ts";

/** Batch usage that determines the share of long work. */
export type BatchUsage = {
  readonly batch: number;
  /** Queued short work whose adapter is loaded. */
  readonly shortWaiting: number;
  readonly shortRunning: number;
};

/** Waiting work of an adapter version that is not loaded. */
export type LoadDemand = {
  /** Lowest rank of the waiting requests. */
  readonly firstRank: number;
  readonly waiting: number;
};

/** Loaded adapter version without queued or running requests. */
export type Victim = {
  readonly adapter: AdapterKey;
  readonly lastUsedAt: Millis;
  /** Number of recent dispatches, with decay. */
  readonly uses: number;
  /** Placement wants the adapter on this engine. */
  readonly placed: boolean;
};

/** Scheduling, load order and eviction policies of an engine owner. */
export type EnginePolicies = {
  /** Position in the queue, lowest first; fixed on arrival. */
  readonly rank: (work: WorkItem) => number;
  /** Whether the work counts as long. */
  readonly isLong: (work: WorkItem) => boolean;
  /** Batch capacity that long work may take. */
  readonly maxLongBatch: (usage: BatchUsage) => number;
  /** Batch capacity that running long work keeps while short work waits; only long work beyond it is preempted. */
  readonly minLongBatch: (usage: BatchUsage) => number;
  /** Slots whose adapters long work may keep in use at once. */
  readonly maxLongSlots: (slots: number) => number;
  /** Maximum time that these limits may delay work, in ms. */
  readonly maxLongDelay: number;
  /** Position of an adapter version among those to load, lowest first. */
  readonly rankLoad: (demand: LoadDemand) => number;
  /** Adapter to evict; there is at least one candidate. */
  readonly chooseVictim: (candidates: readonly Victim[]) => AdapterKey;
};

/** Time added to the arrival of work for its rank, in ms; older work of a lower class runs before urgent work that arrives after this delay. */
const CLASS_DELAYS: Record<Priority, number> = {
  urgent: 0,
  normal: 2_000,
  bulk: 8_000,
};

/** Time subtracted from the deadline of work for its rank, in ms; work near its deadline runs before older work of its class. */
const DEADLINE_LEAD = 1_000;

/** Number of expected tokens above which work counts as long. */
const LONG_TOKENS = 500;

/** Share of the batch that long work may take at any time, even while short work waits. */
const LONG_SHARE = 0.6;

/** Batch capacity reserved for short work that arrives next; the square root of the running short work is added to it. */
const RESERVED_CAPACITY = 2;

/** Recent uses that a placed adapter is credited with when a victim is chosen. */
const PLACED_BONUS = 2;

/** Share of the batch that long work keeps during a burst of short work. */
const LONG_MIN_SHARE = 0.25;

/** Share of the slots reserved for short work, since a slot in use cannot be evicted. */
const RESERVED_SLOTS = 0.375;

/** Time after which these reserves no longer delay long work, in ms. */
const LONG_MAX_DELAY = 20_000;

/** Time by which each further waiting request lowers the rank of a load, and its limit, in ms. */
const GROUP_BONUS = 500;
const GROUP_BONUS_LIMIT = 4_000;

function rankByClass(work: WorkItem): number {
  const byAge = work.arrivedAt + CLASS_DELAYS[work.priority];
  const byDeadline = Math.max(work.arrivedAt, work.deadlineAt - DEADLINE_LEAD);
  return Math.min(byAge, byDeadline);
}

function limitLongBatch(usage: BatchUsage): number {
  const { batch, shortWaiting, shortRunning } = usage;
  const share = Math.max(1, Math.round(batch * LONG_SHARE));
  if (shortWaiting > 0) return share;
  const reserve = RESERVED_CAPACITY + Math.sqrt(shortRunning);
  return Math.max(share, Math.floor(batch - shortRunning - reserve));
}

function rankByDemand({ firstRank, waiting }: LoadDemand): number {
  return firstRank - Math.min(GROUP_BONUS_LIMIT, (waiting - 1) * GROUP_BONUS);
}

function findLowestCost(
  candidates: readonly Victim[],
  cost: (victim: Victim) => number,
): AdapterKey {
  let least = candidates[0] as Victim;
  for (const candidate of candidates) {
    if (cost(candidate) < cost(least)) least = candidate;
  }
  return least.adapter;
}

/** Default policies. */
export const defaultEnginePolicies: EnginePolicies = {
  rank: rankByClass,
  isLong: (work) => work.expectedTokens > LONG_TOKENS,
  maxLongBatch: limitLongBatch,
  minLongBatch: ({ batch }) => Math.max(1, Math.floor(batch * LONG_MIN_SHARE)),
  maxLongSlots: (slots) =>
    Math.max(1, Math.floor(slots * (1 - RESERVED_SLOTS))),
  maxLongDelay: LONG_MAX_DELAY,
  rankLoad: rankByDemand,
  chooseVictim: (candidates) =>
    findLowestCost(
      candidates,
      ({ uses, placed }) => uses + (placed ? PLACED_BONUS : 0),
    ),
};

/** First-come, first-served scheduling and least-recently-used eviction, for comparison. */
export const baselineEnginePolicies: EnginePolicies = {
  rank: (work) => work.arrivedAt,
  isLong: () => false,
  maxLongBatch: ({ batch }) => batch,
  minLongBatch: ({ batch }) => batch,
  maxLongSlots: (slots) => slots,
  maxLongDelay: 0,
  rankLoad: ({ firstRank }) => firstRank,
  chooseVictim: (candidates) =>
    findLowestCost(candidates, ({ lastUsedAt }) => lastUsedAt),
};
