import type {
  DryRun,
  DryRunVerdict,
  ServerOutlook,
  ServiceOutlook,
  WaitReason,
} from "../core/gateway/dry_run.ts";
import { totalWait } from "../core/gateway/expected_wait.ts";
import { resultCodes } from "../core/results/codes.ts";

const waitReasons: Record<WaitReason, string> = {
  queue: "behind more urgent requests that wait for the same servers",
  "model-load": "until an engine has loaded the model",
  "no-server": "for a server that can take it",
  "servers-paused": "until a paused or limited server takes requests again",
};

/** Formats a dry run as lines of text. */
export function formatDryRun(run: DryRun): string[] {
  if (run.kind === "refused") return [formatVerdict(run)];
  const { route, revision, priority, organisation, credit } = run;
  const lines = [`route ${route}, revision ${revision}, priority ${priority}`];
  if (organisation !== undefined)
    lines.push(`organisation ${organisation}${formatCredit(credit)}`);
  return [...lines, ...run.services.flatMap(formatService)];
}

function formatCredit(credit: Extract<DryRun, { kind: "routed" }>["credit"]) {
  if (credit === undefined) return ", without a quota";
  const { units, left, state } = credit;
  return `, ${Math.floor(left)} units left at this node, ${units} needed: ${state}`;
}

function formatService(outlook: ServiceOutlook): string[] {
  const { service, share, servers, verdict } = outlook;
  return [
    `service ${service}, ${Math.round(share * 100)} % of the route: ${formatVerdict(verdict)}`,
    ...servers.map((server) => `  ${formatServer(server)}`),
  ];
}

function formatServer(outlook: ServerOutlook): string {
  const { server, dataCentre, obstacle, wait, adapter } = outlook;
  const { queue, load, prompt, distance } = wait;
  const parts = Object.entries({ queue, load, prompt, distance })
    .map(([part, time]) => `${part} ${Math.round(time)}`)
    .join(", ");
  const state = obstacle ?? "usable";
  const held = adapter === "not-needed" ? "" : `, adapter ${adapter}`;
  return `server ${server} in ${dataCentre}: ${state}, expected wait ${Math.round(totalWait(wait))} ms (${parts})${held}`;
}

function formatVerdict(verdict: DryRunVerdict): string {
  switch (verdict.kind) {
    case "sent": {
      const conditions = [
        verdict.asksCredit ? "other nodes give credit" : undefined,
        verdict.asksOwner
          ? "the owner of the engine grants the adapter"
          : undefined,
      ].filter((condition) => condition !== undefined);
      const suffix =
        conditions.length > 0 ? ` if ${conditions.join(" and ")}` : "";
      return `sent to ${verdict.server}${suffix}`;
    }
    case "waits":
      return `waits ${waitReasons[verdict.reason]}`;
    case "passed-on":
      return "passed on to another node, since this one reaches no server";
    case "refused": {
      const { number, remedy } = resultCodes[verdict.code];
      return `refused with ${number} ${verdict.code}: ${verdict.detail}. Remedy: ${remedy}`;
    }
  }
}
