import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { type Spread, summarize } from "./statistics.ts";

/** Measured values of one run, by name of the figure. */
export type Figures = Readonly<Record<string, number>>;

/** Compares one figure of a variant with the same figure of another. */
export type Comparison = {
  readonly figure: string;
  readonly variant: string;
  readonly baseline: string;
  /** Bound for the ratio of the medians. */
  readonly target?: { readonly atMost: number } | { readonly atLeast: number };
};

/** Bound for the median of one figure, or for its value in every run. */
export type FigureTarget = {
  readonly figure: string;
  readonly variant: string;
  readonly target: { readonly atMost: number } | { readonly atLeast: number };
  /** The bound is a guarantee: a single run outside it misses the target. */
  readonly everyRun?: boolean;
};

/** Definition of one benchmark; each file in `experiments` exports one as `experiment`. */
export type Experiment = {
  readonly name: string;
  readonly summary: string;
  readonly variants: readonly string[];
  /** Runs one variant; all variants get the same workload for the same seed. */
  readonly run: (variant: string, seed: number) => Promise<Figures>;
  readonly comparisons: readonly Comparison[];
  readonly targets?: readonly FigureTarget[];
};

/** Result of running one variant with one seed. */
export type Run = {
  readonly variant: string;
  readonly seed: number;
  readonly figures: Figures;
};

/** Ratio of two variants, and whether it meets its target. */
export type Ratio = Comparison & {
  readonly ratio: number;
  readonly met: boolean | undefined;
};

/** Result of all runs of an experiment. */
export type Report = {
  readonly experiment: string;
  readonly seeds: readonly number[];
  readonly runs: readonly Run[];
  readonly spreads: Readonly<Record<string, Readonly<Record<string, Spread>>>>;
  readonly ratios: readonly Ratio[];
  readonly targets: readonly (FigureTarget & { readonly met: boolean })[];
};

/** Runs every variant with every seed sequentially. */
export async function runExperiment(
  experiment: Experiment,
  seeds: readonly number[],
): Promise<Report> {
  const runs: Run[] = [];
  for (const variant of experiment.variants) {
    for (const seed of seeds) {
      const figures = await experiment.run(variant, seed);
      runs.push({ variant, seed, figures });
    }
  }
  return createReport(experiment, { seeds, runs });
}

function createReport(
  experiment: Experiment,
  { seeds, runs }: { seeds: readonly number[]; runs: readonly Run[] },
): Report {
  const spreads: Record<string, Record<string, Spread>> = {};
  for (const variant of experiment.variants) {
    spreads[variant] = summarizeFigures(
      runs.filter((run) => run.variant === variant),
    );
  }
  const medianOf = (variant: string, figure: string): number =>
    spreads[variant]?.[figure]?.median ?? Number.NaN;
  return {
    experiment: experiment.name,
    seeds,
    runs,
    spreads,
    ratios: experiment.comparisons.map((comparison) => {
      const { figure, variant, baseline, target } = comparison;
      const ratio = medianOf(variant, figure) / medianOf(baseline, figure);
      const met = target === undefined ? undefined : meetsTarget(ratio, target);
      return { ...comparison, ratio, met };
    }),
    targets: (experiment.targets ?? []).map((entry) => ({
      ...entry,
      met: runs
        .filter(({ variant }) => entry.everyRun && variant === entry.variant)
        .map(({ figures }) => figures[entry.figure] ?? Number.NaN)
        .concat(medianOf(entry.variant, entry.figure))
        .every((value) => meetsTarget(value, entry.target)),
    })),
  };
}

function summarizeFigures(runs: readonly Run[]): Record<string, Spread> {
  const spreads: Record<string, Spread> = {};
  for (const figure of Object.keys(runs[0]?.figures ?? {})) {
    spreads[figure] = summarize(
      runs.map(({ figures }) => figures[figure] ?? 0),
    );
  }
  return spreads;
}

function meetsTarget(
  value: number,
  target: { atMost: number } | { atLeast: number },
): boolean {
  return "atMost" in target ? value <= target.atMost : value >= target.atLeast;
}

/** Writes a report to `FOLDER/NAME.json`. */
export function writeReport(report: Report, folder: string): void {
  mkdirSync(folder, { recursive: true });
  const file = join(folder, `${report.experiment}.json`);
  writeFileSync(file, `${JSON.stringify(report, null, 2)}\n`);
}
