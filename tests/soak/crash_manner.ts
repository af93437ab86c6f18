import type { CrashEnd } from "../rig/backend.ts";

/** How a server crashes under a request. */
export type CrashManner = {
  /** Time from the start of the run to the crash, in ms. */
  readonly delay: number;
  readonly end: CrashEnd;
  /** Whether its answer has a length or chunks. */
  readonly isFramed: boolean;
};

/** Delays to choose from, in ms. */
const delays = [5, 40, 300];

/** Draws how servers crash under one kind of request. */
export function drawManner(random: () => number): CrashManner {
  return {
    delay: delays[Math.floor(random() * delays.length)] as number,
    end: random() < 0.5 ? "reset" : "end",
    isFramed: random() < 0.5,
  };
}
