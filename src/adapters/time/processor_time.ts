import { type Millis, millis } from "../../core/clock.ts";

const microsecondsPerMillisecond = 1_000;

/** Processor time that all threads of the process have used so far, in ms. */
export function readProcessorTime(): Millis {
  const { user, system } = process.cpuUsage();
  return millis((user + system) / microsecondsPerMillisecond);
}
