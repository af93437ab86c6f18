import type { EngineLimits } from "../../core/engine/messages.ts";

/** Adapter version that all requests of the bench name. */
export const benchAdapter = "chains@1";

/** Limits of the one engine; it ignores fencing numbers, since direct calls carry none. */
export const benchLimits: EngineLimits = {
  slots: 4,
  batch: 256,
  queue: 1024,
  fencing: "ignored",
};
