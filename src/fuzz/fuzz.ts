import fc from "fast-check";
import { runScenario } from "./scenario.ts";
import { ScenarioError } from "./scenario_steps.ts";
import { preamble, stepArbitrary } from "./step_arbitraries.ts";

/** Steps of one random scenario, after the preamble. */
export const stepsPerRun = 200;
/** Limit of scenario runs while one failure is shrunk. */
const maxShrinkRuns = 400;

/** A scenario that fails, after shrinking. */
export type FuzzFailure = {
  readonly seed: number;
  readonly scenario: string;
  readonly reason: string;
};

/** Runs the random scenario of a seed; shrinks it when it fails. */
export async function fuzzSeed(
  seed: number,
  steps = stepsPerRun,
): Promise<FuzzFailure | undefined> {
  const arbitrary = fc.array(stepArbitrary, {
    minLength: steps,
    maxLength: steps,
  });
  const [lines = []] = fc.sample(arbitrary, { seed, numRuns: 1 });
  if ((await findFailure(lines, seed)) === undefined) return undefined;
  const shrunk = await shrinkSteps(lines, seed);
  return {
    seed,
    scenario: formatScenario(shrunk),
    reason:
      (await findFailure(shrunk, seed)) ??
      "The shrunk scenario did not fail again",
  };
}

function formatScenario(lines: readonly string[]): string {
  return [...preamble, ...lines].join("\n");
}

async function findFailure(
  lines: readonly string[],
  seed: number,
): Promise<string | undefined> {
  try {
    await runScenario(formatScenario(lines), seed);
    return undefined;
  } catch (error) {
    if (error instanceof ScenarioError) return error.message;
    return String((error as Error).stack);
  }
}

/**
 * Removes chunks of steps, halving their size, while the scenario still fails.
 * Steps depend on one another only through the simulation, so any subset is
 * valid. The array shrinker of fast-check removes steps at the front only.
 */
async function shrinkSteps(
  failing: readonly string[],
  seed: number,
): Promise<readonly string[]> {
  let lines = failing;
  let runs = 0;
  for (let chunkSize = lines.length >> 1; chunkSize > 0; chunkSize >>= 1) {
    for (let start = 0; start < lines.length; ) {
      if (runs++ >= maxShrinkRuns) return lines;
      const candidate = lines.toSpliced(start, chunkSize);
      if ((await findFailure(candidate, seed)) === undefined)
        start += chunkSize;
      else lines = candidate;
    }
  }
  return lines;
}
