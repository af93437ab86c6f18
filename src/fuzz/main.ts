import { parseArgs } from "node:util";
import { fuzzSeed, stepsPerRun } from "./fuzz.ts";

/** Runs a random scenario for each of M seeds from N on: `npm run fuzz -- --seed N --runs M`. */
const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    runs: { type: "string", default: "100" },
    steps: { type: "string", default: String(stepsPerRun) },
  },
});
const first = Number(values.seed);
const runs = Number(values.runs);
const steps = Number(values.steps);
let failures = 0;
for (let seed = first; seed < first + runs; seed++) {
  const failure = await fuzzSeed(seed, steps);
  if (failure === undefined) continue;
  failures++;
  console.log(`seed ${seed} failed: ${failure.reason}`);
  console.log(`# Replays seed ${seed}.\n${failure.scenario}\n`);
}
console.log(
  `${runs} seeds from ${first}, ${runs * steps} steps, ${failures} failed`,
);
process.exitCode = failures === 0 ? 0 : 1;
