/** Plays soaks by hand; exit status 1 if a promise was broken. */
import { defineCommand, runMain } from "citty";
import { playSoak, type SoakResult } from "../tests/soak/soak.ts";

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

const soak = defineCommand({
  meta: { name: "soak", description: "Plays soaks from a seed on" },
  args: {
    seed: { type: "positional", default: "1", description: "First seed" },
    count: {
      type: "positional",
      default: "50",
      description: "Number of seeds",
    },
    seconds: {
      type: "positional",
      default: "30",
      description: "Time in which disturbances begin, in s",
    },
    names: {
      type: "positional",
      required: false,
      description:
        "Names of the disturbances, separated by commas; all without",
    },
    machines: { type: "string", description: "Number of machines" },
    engines: { type: "string", description: "Number of engines" },
    streams: { type: "string", description: "Streams a second" },
    logs: {
      type: "string",
      description: "Folder for the logs of machines that broke a promise",
    },
    earlier: {
      type: "string",
      description:
        "Revision that the machines are upgraded from, and go back to",
    },
  },
  run: async ({ args }) => {
    for (let at = 0; at < Number(args.count); at++) {
      const result = await playSoak({
        seed: Number(args.seed) + at,
        duration: Number(args.seconds) * 1_000,
        ...(args.names && { names: args.names.split(",") }),
        machineCount: args.machines ? Number(args.machines) : undefined,
        engineCount: args.engines ? Number(args.engines) : undefined,
        streamRate: args.streams ? Number(args.streams) : undefined,
        earlier: args.earlier,
        logs: args.logs,
      });
      console.log(describe(result));
      if (result.violations.length > 0) process.exitCode = 1;
    }
  },
});

await runMain(soak);
