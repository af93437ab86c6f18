import { constants, fstatSync, openSync } from "node:fs";
import { destination, type Logger, pino } from "pino";
import type { Clock } from "../../core/clock.ts";
import type { NodeId } from "../../core/ids.ts";
import { eventCatalogue } from "../../core/observe/events.ts";
import type { Journal } from "../../ports/journal.ts";
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

/** Log lines that wait for a slow reader at most, in bytes; later ones are dropped. */
const maxBufferedBytes = 1024 * 1024;
/** Lines below the level of a warning that one node writes in a second. */
const linesPerSecond = 400;

/** Logger to standard output whose writes never wait for the reader. */
export function createOutputLogger(options: {
  node: NodeId;
  level: string;
}): Logger {
  let isExiting = false;
  const output = destination({
    dest: openOutput(),
    sync: false,
    maxLength: maxBufferedBytes,
    retryEAGAIN: () => !isExiting,
  });
  // pino flushes at the exit until the reader has taken everything, so the process would not end.
  process.prependOnceListener("exit", () => {
    isExiting = true;
    flushOnce(output);
    output.destroy();
  });
  return pino({ level: options.level, base: { node: options.node } }, output);
}

/**
 * Descriptor of standard output whose writes fail instead of waiting. A write
 * that waits for the reader of a pipe would also hold up the end of the process.
 */
function openOutput(): number {
  if (!fstatSync(1).isFIFO()) return 1;
  const { O_WRONLY, O_NONBLOCK } = constants;
  try {
    return openSync("/proc/self/fd/1", O_WRONLY | O_NONBLOCK);
  } catch {
    // The pipe may belong to another user; the log then goes out by waiting writes.
    return 1;
  }
}

function flushOnce(output: ReturnType<typeof destination>): void {
  try {
    output.flushSync();
  } catch {
    // The reader takes no more lines, and there is nowhere else to say so.
  }
}

/** Bounds the lines of a listener in each second and says how many were left out. */
export function limitEntryRate(
  listener: EntryListener,
  options: { clock: Clock; journal: () => Journal; limit?: number },
): EntryListener {
  const { clock, journal, limit = linesPerSecond } = options;
  let windowEnd = Number.NEGATIVE_INFINITY;
  let written = 0;
  let leftOut = 0;
  return (entry, level) => {
    const now = clock.now();
    if (now >= windowEnd) {
      const count = leftOut;
      windowEnd = now + 1_000;
      written = 0;
      leftOut = 0;
      if (count > 0) journal().record("logLinesLeftOut", { count });
    }
    const isBounded = level === "debug" || level === "info";
    if (isBounded && written >= limit) {
      leftOut++;
      return;
    }
    if (isBounded) written++;
    listener(entry, level);
  };
}
