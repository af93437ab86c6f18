import type { Millis } from "../clock.ts";
import type { ServerId } from "../ids.ts";

type Pace = { ratio: number; at: Millis };

/** How much longer than expected the engines take to begin their answers, as a node sees it. */
export type EnginePaces = { readonly byEngine: Map<ServerId, Pace> };

/** Weight of one answer; a single slow one tells little, as engines have slow moments. */
const answerWeight = 0.2;
/** Bounds of what one answer may tell. */
const leastRatio = 0.5;
const greatestRatio = 8;
/** Time in which an engine that gets no requests loses half of what sets it apart, in ms. */
const halfLife = 4_000;

/** Paces of a node that has seen no answers. */
export function createEnginePaces(): EnginePaces {
  return { byEngine: new Map() };
}

/** Notes how long an engine took to begin an answer. */
export function notePace(
  paces: EnginePaces,
  engine: ServerId,
  answer: {
    readonly actual: number;
    readonly expected: number;
    readonly now: Millis;
  },
): void {
  const { actual, expected, now } = answer;
  if (expected <= 0) return;
  const seen = Math.min(greatestRatio, Math.max(leastRatio, actual / expected));
  const before = findPace(paces, engine, now);
  const ratio = before + (seen - before) * answerWeight;
  paces.byEngine.set(engine, { ratio, at: now });
}

/** Factor by which an engine is expected to take longer; 1 when nothing is known. */
export function findPace(
  paces: EnginePaces,
  engine: ServerId,
  now: Millis,
): number {
  const pace = paces.byEngine.get(engine);
  if (pace === undefined) return 1;
  const kept = 0.5 ** ((now - pace.at) / halfLife);
  return 1 + (pace.ratio - 1) * kept;
}

/** Forgets an engine that is gone or has restarted. */
export function forgetPace(paces: EnginePaces, engine: ServerId): void {
  paces.byEngine.delete(engine);
}
