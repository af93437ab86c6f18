import { type Millis, millis } from "../clock.ts";

/** How an engine performs, from what one node observed itself. */
export type Health = {
  readonly state: "ok" | "slow";
  /** Time of the last change of state. */
  readonly since: Millis;
  /** Usual time to first token and between tokens in ms; undefined before the first observation. */
  readonly firstToken: number | undefined;
  readonly tokenGap: number | undefined;
  /** Consecutive observations that speak against the present state. */
  readonly streak: number;
};

/** One observation: a time to first token, a mean gap between tokens, or the age of the oldest request without a sign of life, in ms. */
export type HealthSample = {
  readonly kind: "first-token" | "token-gap" | "age";
  readonly value: number;
};

/** Multiple of the baseline time from which an observation counts as slow. */
const SLOW_FACTOR = 2;

/** Multiple of the baseline time up to which a probe counts as good. */
const RECOVERED_FACTOR = 1.5;

/** Excess over the baseline time below which nothing counts as slow, in ms; steps and prefill vary by this much. */
const TOLERANCE = { "first-token": 40, "token-gap": 5, age: 250 } as const;

/** Consecutive slow observations that make an engine slow. */
const SLOW_SAMPLES = 2;

/** Consecutive good probes after which a slow engine is ok. */
const RECOVERY_SAMPLES = 3;

/** Weight of a new observation in the baseline time. */
const BASELINE_WEIGHT = 0.05;

/** Time in the slow state after which its times count as baseline, in ms. */
const REBASELINE_TIME = 60_000;

/** Health of an engine without observations. */
export function createHealth(): Health {
  return {
    state: "ok",
    since: millis(0),
    firstToken: undefined,
    tokenGap: undefined,
    streak: 0,
  };
}

/** Takes one observation into account. */
export function observeHealth(
  health: Health,
  { sample, now }: { sample: HealthSample; now: Millis },
): Health {
  if (health.state === "ok") return observeWhileOk(health, { sample, now });
  if (now - health.since >= REBASELINE_TIME) {
    return { ...createHealth(), since: now };
  }
  if (sample.kind === "age" || !isHealthySample(health, sample)) {
    return { ...health, streak: 0 };
  }
  return extendStreak(health, { limit: RECOVERY_SAMPLES, next: "ok", now });
}

function observeWhileOk(
  health: Health,
  { sample, now }: { sample: HealthSample; now: Millis },
): Health {
  if (isSlowSample(health, sample)) {
    const limit = sample.kind === "age" ? 1 : SLOW_SAMPLES;
    return extendStreak(health, { limit, next: "slow", now });
  }
  if (sample.kind === "age") return health;
  const field = sample.kind === "first-token" ? "firstToken" : "tokenGap";
  const baseline = health[field] ?? sample.value;
  const moved = baseline + BASELINE_WEIGHT * (sample.value - baseline);
  return { ...health, [field]: moved, streak: 0 };
}

function extendStreak(
  health: Health,
  { limit, next, now }: { limit: number; next: Health["state"]; now: Millis },
): Health {
  const streak = health.streak + 1;
  if (streak < limit) return { ...health, streak };
  return { ...health, state: next, since: now, streak: 0 };
}

function isSlowSample(health: Health, { kind, value }: HealthSample): boolean {
  const baseline = findBaseline(health, kind);
  if (baseline === undefined) return false;
  return value > baseline * SLOW_FACTOR && value > baseline + TOLERANCE[kind];
}

function isHealthySample(
  health: Health,
  { kind, value }: HealthSample,
): boolean {
  const baseline = findBaseline(health, kind) ?? value;
  return (
    value <= Math.max(baseline * RECOVERED_FACTOR, baseline + TOLERANCE[kind])
  );
}

/** Usual value that an observation is compared with; an age is compared with the time to first token. */
function findBaseline(
  health: Health,
  kind: HealthSample["kind"],
): number | undefined {
  return kind === "token-gap" ? health.tokenGap : health.firstToken;
}
