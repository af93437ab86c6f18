import { writeFileSync } from "node:fs";
import { defineCommand } from "citty";
import {
  compareEvents,
  formatHybridTime,
} from "../../core/observe/hybrid_clock.ts";
import type { TimelineEntry } from "../../ports/operators.ts";
import { failureStatus, printLine } from "../exit.ts";
import { formatFields } from "../format_fields.ts";
import { callAll, connectNodes, operatorArgs } from "../operator.ts";
import { renderTimelinePage } from "../timeline_page.ts";

/** `goldcrestwinch timeline`: events of all nodes in causal order. */
export const timelineCommand = defineCommand({
  meta: { name: "timeline", description: "Show events of all nodes in order" },
  args: {
    ...operatorArgs,
    request: { type: "string", description: "Only events of this request id" },
    adapter: {
      type: "string",
      description: "Only events of this adapter, NAME@VERSION",
    },
    engine: { type: "string", description: "Only events of this engine" },
    within: {
      type: "string",
      description: "Only events within the last N seconds",
    },
    limit: {
      type: "string",
      default: "1000",
      description: "Maximum number of newest events per node",
    },
    html: { type: "string", description: "Write one HTML page to this path" },
  },
  async run({ args }) {
    const replies = await callAll(connectNodes(args), (client) =>
      client.timeline.query({
        requestId: args.request,
        adapter: args.adapter,
        engine: args.engine,
        withinMs:
          args.within === undefined ? undefined : Number(args.within) * 1_000,
        limit: Number(args.limit),
      }),
    );
    const entries: TimelineEntry[] = mergeTimelines(
      replies.flatMap((reply) => ("value" in reply ? [reply.value] : [])),
    );
    if (args.html !== undefined) {
      writeFileSync(args.html, renderTimelinePage(entries));
    } else if (args.json) {
      printLine(JSON.stringify(entries));
    } else {
      for (const entry of entries) printLine(formatTimelineEntry(entry));
    }
    for (const reply of replies) {
      if (!("error" in reply)) continue;
      process.stderr.write(`${reply.address}: ${reply.error}\n`);
      process.exitCode = failureStatus;
    }
  },
});

/** Merges the events of several nodes in the order of their hybrid logical clocks. */
export function mergeTimelines(
  timelines: readonly (readonly TimelineEntry[])[],
): TimelineEntry[] {
  return timelines.flat().sort(compareEvents);
}

/** Formats an event as one line of text. */
export function formatTimelineEntry(entry: TimelineEntry): string {
  const fields = formatFields(entry.fields);
  const time = new Date(entry.time.wall).toISOString();
  const counter = formatHybridTime(entry.time).split(".")[1];
  return `${time}.${counter} ${entry.node} ${entry.number} ${entry.event} ${fields}`.trimEnd();
}
