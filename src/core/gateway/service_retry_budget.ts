import { type Millis, millis } from "../clock.ts";
import type { SlackShare } from "./slack_share.ts";

/** Limits that the operator sets on the retries of all nodes together. */
export type ServiceRetryLimits = {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries allowed in each window in addition to the ratio. */
  readonly slack: number;
  readonly window: Millis;
};

/**
 * Parts of the ratio and of the slack that may be spent at once and that come
 * back within a window. The rest is a margin for retries that wait for a server
 * after they were taken.
 */
const savedRatioPart = 0.35;
const earnedRatioPart = 0.55;
const savedSlackPart = 0.45;
const earnedSlackPart = 0.45;

/** Number of parts of a window in which requests are counted. */
const slotCount = 20;

/** Time at which a node asks, and its share of the slack then. */
export type BudgetMoment = {
  readonly now: Millis;
  readonly share: SlackShare;
  /** Draws a number from 0 to 1. */
  readonly random: () => number;
};

type Slot = { readonly index: number; requests: number };

/**
 * Retry budget of one node for one service: a token bucket that begins empty
 * and that each request and the node's share of the slack fill. What the nodes
 * send in a window is at most what their buckets can hold at its start and what
 * is earned in it. That holds whichever node earns it, so that restarts and
 * callers that move to other nodes need no coordination.
 */
export type ServiceRetryBudget = {
  readonly limits: ServiceRetryLimits;
  /** Requests of the window by slot, oldest first. */
  readonly slots: Slot[];
  /** Retries that may be taken. */
  tokens: number;
  refilledAt: Millis;
  /** Part of the slack that the node had at the latest refill. */
  part: number;
};

/** Creates the budget of a service without requests. */
export function createServiceRetryBudget(
  limits: ServiceRetryLimits,
  now: Millis,
): ServiceRetryBudget {
  return { limits, slots: [], tokens: 0, refilledAt: now, part: 0 };
}

/** Counts the first attempt of a request. */
export function recordRequest(
  budget: ServiceRetryBudget,
  moment: BudgetMoment,
): void {
  refill(budget, moment);
  const { limits, slots } = budget;
  const index = findSlot(limits, moment.now);
  const last = slots.at(-1);
  if (last?.index === index) last.requests++;
  else slots.push({ index, requests: 1 });
  budget.tokens += earnedRatioPart * limits.ratio;
  limitTokens(budget, moment.share.part);
}

/** Takes one retry if this node has one left. */
export function takeRetry(
  budget: ServiceRetryBudget,
  moment: BudgetMoment,
): boolean {
  if (takeEarnedRetry(budget, moment)) return true;
  // A bucket that never holds a whole token is spent with the chance that it stands for.
  const isSmall = findCapacity(budget, moment.share.part) < 1;
  if (!isSmall || moment.random() >= budget.tokens) return false;
  budget.tokens = 0;
  return true;
}

/** Takes one retry if a whole one is left; it may be asked for again and again. */
export function takeEarnedRetry(
  budget: ServiceRetryBudget,
  moment: BudgetMoment,
): boolean {
  refill(budget, moment);
  if (budget.tokens < 1) return false;
  budget.tokens--;
  return true;
}

function refill(budget: ServiceRetryBudget, { now, share }: BudgetMoment) {
  const { limits, slots } = budget;
  const first = findSlot(limits, millis(now - limits.window)) + 1;
  while (slots[0] !== undefined && slots[0].index < first) slots.shift();
  const from = Math.max(budget.refilledAt, share.since);
  const elapsed = Math.max(0, now - from);
  const slack = limits.slack * Math.min(budget.part, share.part);
  budget.tokens += (earnedSlackPart * slack * elapsed) / limits.window;
  budget.refilledAt = now;
  budget.part = share.part;
  limitTokens(budget, share.part);
}

/** Drops what exceeds the capacity. */
function limitTokens(budget: ServiceRetryBudget, part: number): void {
  budget.tokens = Math.min(budget.tokens, findCapacity(budget, part));
}

/** Part of the requests of the window and of the slack that may be saved. */
function findCapacity(budget: ServiceRetryBudget, part: number): number {
  const { ratio, slack } = budget.limits;
  const requests = budget.slots.reduce((sum, slot) => sum + slot.requests, 0);
  return savedRatioPart * ratio * requests + savedSlackPart * slack * part;
}

function findSlot({ window }: ServiceRetryLimits, at: Millis): number {
  return Math.floor((at * slotCount) / window);
}
