import type { Report } from "./experiment.ts";
import type { Spread } from "./statistics.ts";

/** Formats a report as text lines: median and range per figure and variant, then ratios and targets. */
export function formatReport(report: Report): string[] {
  const { spreads, ratios, targets } = report;
  const lines = [`${report.experiment}, seeds ${report.seeds.join(", ")}`];
  for (const [variant, figures] of Object.entries(spreads)) {
    for (const [figure, spread] of Object.entries(figures)) {
      lines.push(
        `  ${variant.padEnd(24)} ${figure.padEnd(28)} ${formatSpread(spread)}`,
      );
    }
  }
  for (const { figure, variant, baseline, ratio, target, met } of ratios) {
    const text = `${variant} / ${baseline}, ${figure}: ${formatNumber(ratio)}`;
    lines.push(`  ${text}${formatTarget(target, met)}`);
  }
  for (const { figure, variant, target, met } of targets) {
    lines.push(`  ${variant}, ${figure}${formatTarget(target, met)}`);
  }
  return lines;
}

function formatSpread({ median, least, most }: Spread): string {
  return `${formatNumber(median)} (${formatNumber(least)} to ${formatNumber(most)})`;
}

function formatNumber(value: number): string {
  if (Number.isInteger(value)) return String(value);
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}

function formatTarget(
  target: { atMost: number } | { atLeast: number } | undefined,
  met: boolean | undefined,
): string {
  if (target === undefined) return "";
  const bound =
    "atMost" in target
      ? `at most ${target.atMost}`
      : `at least ${target.atLeast}`;
  return `, target ${bound}: ${met === true ? "met" : "missed"}`;
}
