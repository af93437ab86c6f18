import { z } from "zod";
import { type EventName, eventCatalogue } from "../../core/observe/events.ts";
import type { LoggedEvent } from "../../core/observe/request_trace.ts";

const lineSchema = z.looseObject({
  time: z.number(),
  node: z.string(),
  event: z.number(),
  name: z.string().refine((name) => Object.hasOwn(eventCatalogue, name)),
});

/** Fields that every line has; they are excluded from an event's own fields. */
const commonFields = new Set([
  "level",
  "time",
  "node",
  "event",
  "name",
  "msg",
  "pid",
  "hostname",
]);

/** Events parsed from a log, and the number of lines without an event. */
export type ParsedLog = {
  readonly events: readonly LoggedEvent[];
  readonly skippedLines: number;
};

/** Parses the log lines of any number of nodes; a prefix that a collector puts before the JSON is ignored. */
export function parseLogLines(text: string): ParsedLog {
  const events: LoggedEvent[] = [];
  let skippedLines = 0;
  for (const [index, content] of text.split("\n").entries()) {
    if (content.trim() === "") continue;
    const event = parseLogLine(content, index);
    if (event === undefined) skippedLines++;
    else events.push(event);
  }
  return { events, skippedLines };
}

function parseLogLine(content: string, index: number): LoggedEvent | undefined {
  const start = content.indexOf("{");
  if (start < 0) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(content.slice(start));
  } catch {
    // Counted by the caller; a truncated last line is common.
    return undefined;
  }
  const parsed = lineSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const { time, node, event: number, name } = parsed.data;
  const fields = Object.fromEntries(
    Object.entries(parsed.data).filter(([key]) => !commonFields.has(key)),
  );
  const event = name as EventName;
  // The line number keeps the order of lines within one ms.
  return { time: { wall: time, counter: index }, node, number, event, fields };
}
