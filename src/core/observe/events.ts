import { engineEvents } from "./engine_events.ts";
import { nodeEvents } from "./node_events.ts";
import { platformEvents } from "./platform_events.ts";
import { requestEvents } from "./request_events.ts";

/** All log and timeline events by name. */
export const eventCatalogue = {
  ...nodeEvents,
  ...engineEvents,
  ...requestEvents,
  ...platformEvents,
} as const;

/** Name of a log and timeline event. */
export type EventName = keyof typeof eventCatalogue;
