import { constants, fstatSync, openSync } from "node:fs";
import { destination, type Logger, pino } from "pino";
import type { Clock } from "../../core/clock.ts";
import type { NodeId } from "../../core/ids.ts";
import { eventCatalogue } from "../../core/observe/events.ts";
import type { Journal } from "../../ports/journal.ts";
import type { EntryListener } from "./timeline.ts";

/** Creates a logger to standard error; synchronous because worker transports do not survive bundling. */
export function createLogger(options: { node: NodeId; level: string }): Logger {
  return pino(
    { level: options.level, base: { node: options.node } },
    destination({ dest: 2, sync: true }),
  );
}

/** Creates a listener that logs each timeline event with its number and name. */
export function createEntryLog(logger: Logger): EntryListener {
  return (entry, level) => {
    if (!logger.isLevelEnabled(level)) return;
    logger[level](
      { event: entry.number, name: entry.event, ...entry.fields },
      eventCatalogue[entry.event].meaning,
    );
  };
}

/** Maximum size of the log lines buffered for a slow reader, in bytes; further lines are dropped. */
const maxBufferedBytes = 1024 * 1024;
/** Maximum number of lines below the warning level that one node writes per second. */
const maxLinesPerSecond = 400;

/** Creates a logger to standard output whose writes never wait for the reader. */
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
  // On exit pino flushes until the reader has taken everything, so the process would not end.
  process.prependOnceListener("exit", () => {
    isExiting = true;
    flushOnce(output);
    output.destroy();
  });
  return pino({ level: options.level, base: { node: options.node } }, output);
}

/**
 * Opens standard output so that writes fail instead of blocking. A write that
 * waits for the reader of a pipe would also delay the end of the process.
 */
function openOutput(): number {
  if (!fstatSync(1).isFIFO()) return 1;
  const { O_WRONLY, O_NONBLOCK } = constants;
  try {
    return openSync("/proc/self/fd/1", O_WRONLY | O_NONBLOCK);
  } catch {
    // The pipe may belong to another user; the log then uses blocking writes.
    return 1;
  }
}

function flushOnce(output: ReturnType<typeof destination>): void {
  try {
    output.flushSync();
  } catch {
    // The reader accepts no more lines, and there is nowhere else to report it.
  }
}

/** Limits the entries per second that reach a listener, and records how many were dropped. */
export function limitEntryRate(
  listener: EntryListener,
  options: { clock: Clock; journal: () => Journal; limit?: number },
): EntryListener {
  const { clock, journal, limit = maxLinesPerSecond } = options;
  let windowEnd = Number.NEGATIVE_INFINITY;
  let written = 0;
  let droppedCount = 0;
  return (entry, level) => {
    const now = clock.now();
    if (now >= windowEnd) {
      const count = droppedCount;
      windowEnd = now + 1_000;
      written = 0;
      droppedCount = 0;
      if (count > 0) journal().record("logLinesLeftOut", { count });
    }
    const isLimited = level === "debug" || level === "info";
    if (isLimited && written >= limit) {
      droppedCount++;
      return;
    }
    if (isLimited) written++;
    listener(entry, level);
  };
}
