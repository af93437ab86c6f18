import { type Millis, millis } from "../clock.ts";
import type { OrganisationQuota } from "./organisations.ts";

/** By how much the work of an organisation may exceed its quota in a window. */
export type QuotaTolerance = {
  readonly window: Millis;
  /** Part of the quota of a window. */
  readonly overage: number;
  /** Units. */
  readonly slack: number;
};

/** Part of the tolerance that is held as credit beyond the burst. */
const creditPart = 0.4;
/** Part by which credit that a request has taken outlives other credit. */
const gracePart = 0.2;
/** Part that the pools may grant as a debt; two nodes may act as one pool for a time. */
const debtPart = 0.12;
/** Part that all nodes together begin with, since callers return at once after a restart of all. */
const startPart = 0.2;
/** Longest time that a request keeps expired credit, in ms. */
const maxGrace = 1_000;
/** Shortest lifetime of credit, in ms, within which it reaches another node. */
const minLifetime = 100;

/** What the quota of an organisation allows the nodes to hold. */
export type QuotaTerms = {
  readonly quota: OrganisationQuota;
  /** Time from when credit is earned until it expires. */
  readonly lifetime: Millis;
  /** Time after which a request has to take its credit again, beyond the lifetime. */
  readonly grace: Millis;
  /** Units that one pool may grant before it has them. */
  readonly poolDebt: number;
  /** Units that one pool keeps for a request larger than usual. */
  readonly poolReserve: number;
  /** Balance from which the pool of all tells others to keep what they have left over. */
  readonly ample: number;
  /** Units that all nodes together have when they begin to earn. */
  readonly startCredit: number;
};

/** That balance as a share of all credit that the nodes can hold. */
const ampleShare = 0.4;
/** Share of that credit that all pools reserve together. */
const reserveShare = 0.12;

/** Derives the terms of a quota; without a tolerance the nodes hold the burst and no more. */
export function describeQuotaTerms(
  quota: OrganisationQuota,
  tolerance: QuotaTolerance | undefined,
  pools: number,
): QuotaTerms {
  const { rate, burst } = quota;
  const excess = findExcess(quota, tolerance);
  const toTime = (units: number) => millis((units / rate) * 1_000);
  const lifetime = millis(
    Math.max(minLifetime, toTime(burst + excess * creditPart)),
  );
  const capacity = (rate * lifetime) / 1_000;
  return {
    quota,
    lifetime,
    grace: millis(Math.min(maxGrace, toTime(excess * gracePart))),
    poolDebt: (excess * debtPart) / Math.max(1, pools),
    poolReserve: (capacity * reserveShare) / Math.max(1, pools),
    ample: capacity * ampleShare,
    startCredit: excess * startPart,
  };
}

/** Units by which a window may exceed the quota. */
function findExcess(
  { rate, burst }: OrganisationQuota,
  tolerance: QuotaTolerance | undefined,
): number {
  if (tolerance === undefined) return 0;
  const { window, overage, slack } = tolerance;
  return ((rate * window) / 1_000 + burst) * overage + slack;
}

/** Units that a request counts. */
export function countUnits(
  { unit, plainTokens }: OrganisationQuota,
  tokens: number | undefined,
): number {
  if (unit === "requests") return 1;
  return tokens ?? plainTokens;
}
