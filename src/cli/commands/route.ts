import { defineCommand } from "citty";
import {
  type DryRunFailure,
  requestDryRun,
} from "../../adapters/peers/dry_run_client.ts";
import { refuse } from "../../core/results/refusal.ts";
import { exitWithMessage, exitWithRefusal, printLine } from "../exit.ts";
import { formatDryRun } from "../format_dry_run.ts";
import { parseRouteArguments } from "../route_arguments.ts";

/** `goldcrestwinch route`: where a request would go now, and why, without sending it. */
export const routeCommand = defineCommand({
  meta: {
    name: "route",
    description: "Explain where a request would go now, without sending it",
  },
  args: {
    node: { type: "string", description: "Peer address (IP:PORT) of a node" },
    host: { type: "string", description: "Host name of the request" },
    path: { type: "string", description: "Path of the request" },
    method: {
      type: "string",
      description: "Method of the request (POST); routes do not depend on it",
    },
    model: { type: "string", description: "Model, as MODEL or MODEL/ADAPTER" },
    tokens: {
      type: "string",
      description: "Tokens of the prompt and of the answer (0,0)",
    },
    organisation: {
      type: "string",
      description: "Organisation whose key the request would carry",
    },
    json: {
      type: "boolean",
      default: false,
      description: "Print JSON instead of text",
    },
  },
  async run({ args }) {
    const { node, method, query } = parseRouteArguments(args).caseOf({
      Left: (refusal) => exitWithRefusal(refusal),
      Right: (question) => question,
    });
    const run = (await requestDryRun(node, query)).caseOf({
      Left: (failure) => exitWithFailure(node, failure),
      Right: (value) => value,
    });
    if (args.json) return printLine(JSON.stringify(run));
    printLine(`${method} ${query.host}${query.path} at ${node}`);
    for (const line of formatDryRun(run)) printLine(line);
  },
});

function exitWithFailure(node: string, { kind, detail }: DryRunFailure): never {
  switch (kind) {
    case "unreachable":
      return exitWithRefusal(refuse("nodeUnreachable", `${node}: ${detail}`));
    case "unsupported":
      return exitWithMessage(
        `The node ${node} is of a version without dry runs.\nRemedy: name the peer address of an upgraded node.`,
      );
    case "failed":
      return exitWithMessage(
        `The node ${node} refused the dry run: ${detail}\nRemedy: check the arguments; event 112 in the node's log describes an error of the node.`,
      );
  }
}
