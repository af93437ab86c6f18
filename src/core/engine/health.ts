import { type Millis, millis } from "../clock.ts";

/** Performance of an engine as observed by one node. */
export type Health = {
  readonly state: "ok" | "slow";
  /** Time of the last change of `state`. */
  readonly since: Millis;
  /** Baseline time to first token and between tokens, in ms; undefined before the first observation. */
  readonly firstToken: number | undefined;
  readonly tokenGap: number | undefined;
  /** Consecutive observations that indicate the other state. */
  readonly streak: number;
};

/** One observation in ms: a time to first token, a mean gap between tokens, or the time since the last progress of the most stalled request. */
export type HealthSample = {
  readonly kind: "first-token" | "token-gap" | "age";
  readonly value: number;
};

/** Multiple of the baseline above which an observation counts as slow. */
const SLOW_FACTOR = 2;

/** Multiple of the baseline up to which a probe counts as healthy. */
const RECOVERED_FACTOR = 1.5;

/** Excess over the baseline in ms up to which no observation counts as slow, since steps and prefill vary by this much. */
const TOLERANCE = { "first-token": 40, "token-gap": 5, age: 250 } as const;

/** Consecutive slow observations that make an engine slow. */
const SLOW_SAMPLES = 2;

/** Consecutive healthy probes after which a slow engine is ok. */
const RECOVERY_SAMPLES = 3;

/** Weight of a new observation in the baseline. */
const BASELINE_WEIGHT = 0.05;

/** Time in the slow state after which a new baseline is learned, in ms, so that an engine is not avoided for ever. */
const REBASELINE_TIME = 60_000;

/** Creates the health of an engine without observations. */
export function createHealth(): Health {
  return {
    state: "ok",
    since: millis(0),
    firstToken: undefined,
    tokenGap: undefined,
    streak: 0,
  };
}

/** Updates the health with one observation. */
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

/** Returns the baseline of an observation; an age is compared with the time to first token. */
function findBaseline(
  health: Health,
  kind: HealthSample["kind"],
): number | undefined {
  return kind === "token-gap" ? health.tokenGap : health.firstToken;
}
