import type { EngineLimits } from "../../core/engine/messages.ts";

/** Adapter version used by all requests of the benchmark. */
export const benchAdapter = "chains@1";

/** Limits of the single engine; it ignores fencing numbers, since direct calls carry none. */
export const benchLimits: EngineLimits = {
  slots: 4,
  batch: 256,
  queue: 1024,
  fencing: "ignored",
};
