import fc from "fast-check";
import { runScenario } from "./scenario.ts";
import { ScenarioError } from "./scenario_steps.ts";
import { preamble, stepArbitrary } from "./step_arbitraries.ts";

/** Steps of one fuzzed scenario. */
export const stepsPerRun = 200;
/** Runs that shrinking one failure may take. */
const maxShrinkRuns = 400;

/** A scenario that breaks a guarantee, as short as shrinking made it. */
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
  if ((await findFault(lines, seed)) === undefined) return undefined;
  const shrunk = await shrinkSteps(lines, seed);
  return {
    seed,
    scenario: formatScenario(shrunk),
    reason: (await findFault(shrunk, seed)) ?? "The failure did not repeat",
  };
}

function formatScenario(lines: readonly string[]): string {
  return [...preamble, ...lines].join("\n");
}

async function findFault(
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
 * Leaves out ever smaller groups of steps as long as the scenario still fails.
 * Steps depend on one another only through the world, so any subset is valid;
 * the array shrinker of fast-check leaves out steps at the front only.
 */
async function shrinkSteps(
  failing: readonly string[],
  seed: number,
): Promise<readonly string[]> {
  let lines = failing;
  let runs = 0;
  for (let group = lines.length >> 1; group > 0; group >>= 1) {
    for (let start = 0; start < lines.length; ) {
      if (runs++ >= maxShrinkRuns) return lines;
      const fewer = lines.toSpliced(start, group);
      if ((await findFault(fewer, seed)) === undefined) start += group;
      else lines = fewer;
    }
  }
  return lines;
}
