import { readdirSync } from "node:fs";
import { type Experiment, runExperiment, writeReport } from "./experiment.ts";
import { formatReport } from "./report_format.ts";

const folder = new URL("./experiments/", import.meta.url);
const resultFolder = "bench-results";
const defaultSeeds = [1, 2, 3, 4, 5];

/** Names of all experiments, one per file. */
function listExperiments(): string[] {
  return readdirSync(folder)
    .filter((name) => name.endsWith(".ts"))
    .map((name) => name.slice(0, -".ts".length))
    .sort();
}

async function loadExperiment(name: string): Promise<Experiment> {
  const module = (await import(new URL(`${name}.ts`, folder).href)) as {
    experiment: Experiment;
  };
  return module.experiment;
}

/** Reads `--seeds=1,2` and experiment names. */
function parseArguments(args: readonly string[]) {
  const option = args.find((arg) => arg.startsWith("--seeds="));
  const seeds = option?.slice("--seeds=".length).split(",").map(Number);
  return {
    seeds: seeds ?? defaultSeeds,
    names: args.filter((arg) => !arg.startsWith("--")),
  };
}

const { names, seeds } = parseArguments(process.argv.slice(2));
const known = listExperiments();
const unknown = names.filter((name) => !known.includes(name));
if (names.length === 0 || unknown.length > 0) {
  for (const name of unknown) console.error(`Cannot run "${name}"`);
  console.error(`Name one or more experiments: ${known.join(", ")}`);
  process.exitCode = 1;
} else {
  for (const name of names) {
    const report = await runExperiment(await loadExperiment(name), seeds);
    writeReport(report, resultFolder);
    for (const line of formatReport(report)) console.log(line);
  }
}
