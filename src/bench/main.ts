import { readdirSync } from "node:fs";
import { type Experiment, runExperiment, writeReport } from "./experiment.ts";
import { formatReport } from "./report_format.ts";

const experimentFolder = new URL("./experiments/", import.meta.url);
const resultFolder = "bench-results";
const defaultSeeds = [1, 2, 3, 4, 5];

/** Names of all experiments; each file in the folder defines one. */
function listExperiments(): string[] {
  return readdirSync(experimentFolder)
    .filter((name) => name.endsWith(".ts"))
    .map((name) => name.slice(0, -".ts".length))
    .sort();
}

async function loadExperiment(name: string): Promise<Experiment> {
  const module = (await import(
    new URL(`${name}.ts`, experimentFolder).href
  )) as {
    experiment: Experiment;
  };
  return module.experiment;
}

/** Parses `--seeds=1,2` and the names of experiments. */
function parseArguments(args: readonly string[]) {
  const option = args.find((arg) => arg.startsWith("--seeds="));
  const seeds = option?.slice("--seeds=".length).split(",").map(Number);
  return {
    seeds: seeds ?? defaultSeeds,
    names: args.filter((arg) => !arg.startsWith("--")),
  };
}

const { names, seeds } = parseArguments(process.argv.slice(2));
const available = listExperiments();
const unknown = names.filter((name) => !available.includes(name));
if (names.length === 0 || unknown.length > 0) {
  for (const name of unknown) console.error(`Unknown experiment "${name}"`);
  console.error(
    `Name one or more of the available experiments: ${available.join(", ")}`,
  );
  process.exitCode = 1;
} else {
  for (const name of names) {
    const report = await runExperiment(await loadExperiment(name), seeds);
    writeReport(report, resultFolder);
    for (const line of formatReport(report)) console.log(line);
  }
}
