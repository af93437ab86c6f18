import { type Either, Left, Right } from "purify-ts";
import { type Millis, millis } from "../clock.ts";
import { type Refusal, refuse } from "../results/refusal.ts";
import type { RouteChoice, RouteRequest } from "../routing/route.ts";
import { addUse, findHighestUse, readUse, type ShareTable } from "./shares.ts";

/** Admission state of one entry node, by kind of party: customers and adapters. */
export type AdmissionState = {
  readonly customers: ShareControl;
  readonly adapters: ShareControl;
};

/** Recent use of the parties of one kind and the limit that applies to each. */
type ShareControl = {
  readonly table: ShareTable;
  /** Limit in recent tokens per unit of weight; infinite without overload. */
  readonly limit: number;
  readonly changedAt: Millis;
};

/** Weights and overload threshold of admission. */
export type AdmissionPolicies = {
  /** Weight of the party's share of capacity relative to others of its kind. */
  readonly weightOf: (party: string) => number;
  /** Wait for the first token above which the installation counts as overloaded, in ms. */
  readonly overloadWait: (request: RouteRequest, now: Millis) => number;
};

/** Equal shares; the installation counts as overloaded when a third of the time to the deadline is spent waiting. */
export const defaultAdmissionPolicies: AdmissionPolicies = {
  weightOf: () => 1,
  overloadWait: (request, now) =>
    Math.min(maxOverloadWait, (request.deadlineAt - now) / 3),
};

/** Wait above which the installation counts as overloaded whatever the deadline, in ms. */
const maxOverloadWait = 3000;
/** Time constant of the limit: it falls or rises by a factor of e in this time, in ms. */
const adjustTime = 2000;
/** Maximum time that one adjustment of the limit accounts for after a period without requests, in ms. */
const maxStep = 500;
/** Lowest limit in tokens, about one short answer, so that no party is refused entirely. */
const minLimit = 200;
/** Maximum expected wait of a request that needs a load under overload, in ms: a load without a queue, plus a margin. */
const maxColdWait = 600;
/** Retry delay after a refusal for overload or fairness, in ms. */
const fairRetryMs = 1000;

export function createAdmissionState(): AdmissionState {
  return { customers: createControl(), adapters: createControl() };
}

function createControl(): ShareControl {
  return {
    table: new Map(),
    limit: Number.POSITIVE_INFINITY,
    changedAt: millis(0),
  };
}

/** Request, chosen engine and policies that the admission is decided by. */
export type AdmissionOptions = {
  readonly request: RouteRequest;
  readonly choice: RouteChoice;
  readonly now: Millis;
  readonly policies: AdmissionPolicies;
};

/**
 * Admits a request, or refuses it early: when its first token is not expected
 * by its deadline, or, under overload, when its customer or adapter has had
 * more than the limit. The limit falls while waits are long and rises while they
 * are short, so that it converges to the fair share without knowledge of the
 * capacity.
 */
export function admitRequest(
  state: AdmissionState,
  options: AdmissionOptions,
): { state: AdmissionState; verdict: Either<Refusal, RouteChoice> } {
  const { request, choice, now, policies } = options;
  const wait = choice.expectedWait;
  // The wait for a load depends on the load budget, not on the capacity of the engines.
  const adjusted =
    choice.needsLoad === true
      ? state
      : adjustLimits(state, {
          isOverloaded: wait > policies.overloadWait(request, now),
          now,
        });
  const slack = request.deadlineAt - now;
  if (wait > slack)
    return { state: adjusted, verdict: Left(refuseLateRequest(wait, slack)) };
  if (isCostlyLoad(adjusted, choice))
    return { state: adjusted, verdict: Left(refuseLoad(wait)) };
  const over = findOverLimit(adjusted, options);
  if (over !== undefined)
    return { state: adjusted, verdict: Left(refuseOverLimit(over)) };
  const tokens = request.expectedTokens;
  addUse(adjusted.customers.table, { party: request.customer, tokens, now });
  addUse(adjusted.adapters.table, { party: request.adapter, tokens, now });
  return { state: adjusted, verdict: Right(choice) };
}

function refuseLateRequest(wait: number, slack: number): Refusal {
  return refuse(
    "deadlineTooClose",
    `The first token is expected after ${Math.round(wait)} ms`,
    { retryAfter: millis(Math.max(fairRetryMs, wait - slack)) },
  );
}

/** Whether the request needs a load that must queue under overload; such loads evict adapters with more demand than the one request. */
function isCostlyLoad(state: AdmissionState, choice: RouteChoice): boolean {
  return (
    choice.needsLoad === true &&
    state.customers.limit < Number.POSITIVE_INFINITY &&
    choice.expectedWait > maxColdWait
  );
}

function refuseLoad(wait: number): Refusal {
  return refuse(
    "loadFailed",
    `The load would take ${Math.round(wait)} ms under overload`,
    { retryAfter: millis(fairRetryMs) },
  );
}

function refuseOverLimit(party: string): Refusal {
  return refuse("fairShareExceeded", `${party} has used its share`, {
    retryAfter: millis(fairRetryMs),
  });
}

/**
 * Returns the party that exceeds its limit most when customer and adapter
 * together exceed theirs. The limits are combined so that a customer over its
 * limit can still use adapters far below theirs: with two separate limits,
 * adapters used mostly by a large customer got a quarter of their share. The
 * adapter counts by its square root: in full, the batches held so
 * many adapters that goodput fell by 4%.
 */
function findOverLimit(
  state: AdmissionState,
  { request, now, policies }: AdmissionOptions,
): string | undefined {
  const rate = ({ table, limit }: ShareControl, party: string) =>
    readUse(table, { party, now }) / (limit * policies.weightOf(party));
  const customer = rate(state.customers, request.customer);
  const adapter = rate(state.adapters, request.adapter);
  if (customer * Math.sqrt(adapter) <= 1) return undefined;
  return customer >= adapter ? request.customer : request.adapter;
}

function adjustLimits(
  { customers, adapters }: AdmissionState,
  options: { isOverloaded: boolean; now: Millis },
): AdmissionState {
  return {
    customers: adjustLimit(customers, options),
    adapters: adjustLimit(adapters, options),
  };
}

/** Lowers the limit under overload; otherwise raises it until no limit is needed. */
function adjustLimit(
  control: ShareControl,
  options: { isOverloaded: boolean; now: Millis },
): ShareControl {
  const { isOverloaded, now } = options;
  if (!isOverloaded && control.limit === Number.POSITIVE_INFINITY)
    return { ...control, changedAt: now };
  const highest = findHighestUse(control.table, now);
  const step = Math.min(maxStep, now - control.changedAt) / adjustTime;
  if (!isOverloaded) {
    const raised = control.limit * Math.exp(step);
    const limit = raised > 2 * highest ? Number.POSITIVE_INFINITY : raised;
    return { ...control, limit, changedAt: now };
  }
  const lowered = Math.min(control.limit, highest) * Math.exp(-step);
  return {
    ...control,
    limit: Math.max(minLimit, lowered),
    changedAt: now,
  };
}
