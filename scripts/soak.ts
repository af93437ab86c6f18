/** Plays soaks by hand: `npm run soak -- FIRST_SEED COUNT [SECONDS [DISTURBANCE,...]]`; exit status 1 if a promise was broken. */
import { playSoak, type SoakResult } from "../tests/soak/soak.ts";

const [first = "1", count = "50", seconds = "30", chosen] =
  process.argv.slice(2);
const names = chosen?.split(",");
const duration = Number(seconds) * 1_000;

function describe({
  seed,
  violations,
  steps,
  answers,
  peakMemory,
}: SoakResult) {
  const counts = [...answers].map(([key, number]) => `${key}: ${number}`);
  const summary = `seed ${seed}: ${violations.length} violations, ${peakMemory} MB, ${counts.join(", ")}`;
  if (violations.length === 0) return summary;
  const faults = violations.map(({ rule, detail }) => `  ${rule}: ${detail}`);
  return [summary, ...faults, `  ${steps.join("; ")}`].join("\n");
}

for (let at = 0; at < Number(count); at++) {
  const result = await playSoak({
    seed: Number(first) + at,
    duration,
    ...(names && { names }),
  });
  console.log(describe(result));
  if (result.violations.length > 0) process.exitCode = 1;
}
