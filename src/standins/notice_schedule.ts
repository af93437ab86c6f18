import { type Cancel, type Clock, type Millis, millis } from "../core/clock.ts";
import type { MemoryService } from "./memory_service.ts";

/** How often the stand-ins of servers ask for pauses and say that they leave. */
export type NoticePlan = {
  /** Share of the servers that ask for a pause in each period, 0 to 1. */
  readonly pauseShare: number;
  /** Share of the servers that say in all answers that they leave for a period, 0 to 1. */
  readonly leavingShare: number;
  /** Length of a pause. */
  readonly pauseLength: Millis;
  /** Time after which the servers are drawn again. */
  readonly period: Millis;
  /** Draws the servers. */
  readonly random: () => number;
};

/** Lets servers ask for pauses and announce that they leave; returns a function that ends it. */
export function scheduleNotices(
  services: readonly MemoryService[],
  plan: NoticePlan,
  clock: Clock,
): Cancel {
  const { random } = plan;
  let cancel: Cancel = () => {};
  const draw = () => {
    for (const service of services) {
      if (random() < plan.pauseShare)
        service.pausedUntil = millis(clock.now() + plan.pauseLength);
      service.isLeaving = random() < plan.leavingShare;
    }
    cancel = clock.schedule(plan.period, draw);
  };
  draw();
  return () => cancel();
}
