import type { Millis } from "../clock.ts";
import type { AdapterKey } from "../ids.ts";
import type { Priority, WorkItem } from "./work_item.ts";

/** Use of the batch places, as far as the share of long work depends on it. */
export type BatchUsage = {
  readonly batch: number;
  /** Short work with a loaded adapter that waits for a place now. */
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

/** Behaviour of an engine owner that varies. */
export type EnginePolicies = {
  /** Position in the queue, lowest first; fixed on arrival. */
  readonly rank: (work: WorkItem) => number;
  /** Whether the work counts as long. */
  readonly isLong: (work: WorkItem) => boolean;
  /** Batch places that long work may take. */
  readonly maxLongBatch: (use: BatchUsage) => number;
  /** Batch places that running long work keeps although short work waits for one. */
  readonly minLongBatch: (use: BatchUsage) => number;
  /** Slots whose adapters long work may keep in use at once. */
  readonly maxLongSlots: (slots: number) => number;
  /** Time in ms that work may be held back by these limits. */
  readonly maxLongDelay: number;
  /** Position of an adapter version among those to load, lowest first. */
  readonly rankLoad: (demand: LoadDemand) => number;
  /** Slot to evict; candidates are never empty. */
  readonly chooseVictim: (candidates: readonly Victim[]) => AdapterKey;
};

/** Delay in ms after which work overtakes younger work of the class above. */
const CLASS_DELAYS: Record<Priority, number> = {
  urgent: 0,
  normal: 2_000,
  bulk: 8_000,
};

/** Time before its deadline when work is ranked by the deadline, in ms. */
const DEADLINE_LEAD = 1_000;

/** Answers with more expected tokens than this count as long. */
const LONG_TOKENS = 500;

/** Share of the batch that long work may take while short work waits. */
const LONG_SHARE = 0.6;

/** Batch places kept free for short work that arrives next: a fixed number and one per square root of the running short work. */
const RESERVED_CAPACITY = 2;

/** Recent uses that a wish of placement counts for when a slot is evicted. */
const PLACED_BONUS = 2;

/** Share of the batch that long work keeps in a burst of short work. */
const LONG_MIN_SHARE = 0.25;

/** Part of the slots that long work leaves to short work, since a slot in use cannot be evicted. */
const RESERVED_SLOTS = 0.375;

/** Time in ms after which long work no longer waits for these reserves. */
const LONG_MAX_DELAY = 20_000;

/** Time in ms by which each further waiting request moves a load ahead, and its limit. */
const GROUP_BONUS = 500;
const GROUP_BONUS_LIMIT = 4_000;

function rankByClass(work: WorkItem): number {
  const byAge = work.arrivedAt + CLASS_DELAYS[work.priority];
  const byDeadline = Math.max(work.arrivedAt, work.deadlineAt - DEADLINE_LEAD);
  return Math.min(byAge, byDeadline);
}

function limitLongBatch(use: BatchUsage): number {
  const { batch, shortWaiting, shortRunning } = use;
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

/** Policies of the product. */
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

/** First come, first served, and least recently used; for comparison. */
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
