import { destination, type Logger, pino } from "pino";
import type { NodeId } from "../../core/ids.ts";
import { eventCatalogue } from "../../core/observe/events.ts";
import type { EntryListener } from "./timeline.ts";

/** Logger to standard error; synchronous, since worker transports do not survive bundling. */
export function createLogger(options: { node: NodeId; level: string }): Logger {
  return pino(
    { level: options.level, base: { node: options.node } },
    destination({ dest: 2, sync: true }),
  );
}

/** Listener that writes each timeline event as a numbered log event. */
export function createEntryLog(logger: Logger): EntryListener {
  return (entry, level) => {
    if (!logger.isLevelEnabled(level)) return;
    logger[level](
      { event: entry.number, name: entry.event, ...entry.fields },
      eventCatalogue[entry.event].meaning,
    );
  };
}
