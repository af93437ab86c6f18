import { readFileSync, writeFileSync } from "node:fs";
import { defineCommand } from "citty";
import { parseLogLines } from "../../adapters/observe/log_lines.ts";
import {
  buildRequestTrace,
  type LoggedEvent,
} from "../../core/observe/request_trace.ts";
import type { TimelineEntry } from "../../ports/operators.ts";
import { exitWithMessage, printLine } from "../exit.ts";
import { formatFields } from "../format_fields.ts";
import { renderTimelinePage } from "../timeline_page.ts";

/** `goldcrestwinch explain`: trace of one request from the logs of any number of nodes. */
export const explainCommand = defineCommand({
  meta: {
    name: "explain",
    description: "Reconstruct from log files what happened to a request",
  },
  args: {
    id: {
      type: "positional",
      required: true,
      description: "Id of the request",
    },
    json: {
      type: "boolean",
      default: false,
      description: "Print JSON instead of text",
    },
    html: { type: "string", description: "Write one HTML page to this path" },
  },
  run({ args }) {
    const files = args._.slice(1);
    if (files.length === 0) {
      exitWithMessage(
        "No log file was given.\nRemedy: goldcrestwinch explain ID FILE...",
      );
    }
    const logs = files.map((file) => parseLogLines(readLogFile(file)));
    const skipped = logs.reduce((sum, log) => sum + log.skippedLines, 0);
    if (skipped > 0) {
      process.stderr.write(
        `Skipped ${skipped} lines that are not log events\n`,
      );
    }
    const events = logs.flatMap((log) => log.events);
    const trace = buildRequestTrace(events, args.id);
    if (trace === undefined) {
      exitWithMessage(
        `No log line contains request ${args.id}.\nRemedy: pass the logs of all nodes; look for event 105 (log lines dropped).`,
      );
    }
    if (args.html !== undefined) {
      writeFileSync(args.html, renderTimelinePage(trace.events.map(toEntry)));
    }
    if (args.json) return printLine(JSON.stringify(trace));
    for (const event of trace.events) printLine(formatLoggedEvent(event));
    printLine(trace.conclusion);
  },
});

function readLogFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (error) {
    return exitWithMessage(
      `Cannot read "${path}": ${(error as Error).message}\nRemedy: pass readable log files.`,
    );
  }
}

function toEntry(event: LoggedEvent): TimelineEntry {
  return { ...event, fields: event.fields as TimelineEntry["fields"] };
}

/** Formats an event as one line of text. */
function formatLoggedEvent({
  time,
  node,
  number,
  event,
  fields,
}: LoggedEvent): string {
  const at = new Date(time.wall).toISOString();
  return `${at} ${node} ${number} ${event} ${formatFields(fields)}`.trimEnd();
}
