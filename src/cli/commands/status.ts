import { defineCommand } from "citty";
import type { NodeStatus } from "../../ports/operators.ts";
import { failureStatus, printLine } from "../exit.ts";
import {
  callAll,
  connectNodes,
  type NodeReply,
  operatorArgs,
} from "../operator.ts";

/** `goldcrestwinch status`: state of nodes, engine owners, revisions and table outages. */
export const statusCommand = defineCommand({
  meta: { name: "status", description: "Show nodes, engines and revisions" },
  args: operatorArgs,
  async run({ args }) {
    const replies: NodeReply<NodeStatus>[] = await callAll(
      connectNodes(args),
      (client) => client.status.query(),
    );
    if (args.json) printLine(JSON.stringify(replies));
    else for (const line of formatStatus(replies)) printLine(line);
    if (replies.every((reply) => "error" in reply)) {
      process.exitCode = failureStatus;
    }
  },
});

/** Formats the status of several nodes as lines of text. */
export function formatStatus(
  replies: readonly NodeReply<NodeStatus>[],
): string[] {
  const lines: string[] = [];
  const engineLines = new Map<string, string>();
  for (const reply of replies) {
    if ("error" in reply) {
      lines.push(`node ${reply.address}: no answer (${reply.error})`);
      continue;
    }
    const { value } = reply;
    const outage = value.tableOutage ? ", table outage" : "";
    lines.push(
      `node ${value.node} in ${value.region}/${value.dataCentre}: ${value.phase}, revision ${value.revision ?? "none"} (${value.certainty}), ${value.inFlight} in flight, ${value.members.length} members${outage}`,
    );
    for (const engine of value.engines) {
      if (engine.owner !== value.node && engineLines.has(engine.engine))
        continue;
      engineLines.set(
        engine.engine,
        `engine ${engine.engine} in ${engine.region}: ${engine.state}, owner ${engine.owner ?? "none"}, ${engine.queued} queued, ${engine.running} running, ${engine.held.length} adapters held`,
      );
    }
  }
  return [...lines, ...[...engineLines.values()].sort()];
}
