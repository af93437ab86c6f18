import { type ResultCodeName, resultCodes } from "../results/codes.ts";
import type { EventName } from "./events.ts";
import { compareEvents, type HybridTime } from "./hybrid_clock.ts";

/** Event of a node, read from its log. */
export type LoggedEvent = {
  readonly time: HybridTime;
  readonly node: string;
  readonly number: number;
  readonly event: EventName;
  readonly fields: Readonly<Record<string, unknown>>;
};

/** Events related to one request, in order, and the conclusion from them. */
export type RequestTrace = {
  readonly events: readonly LoggedEvent[];
  readonly conclusion: string;
};

/** Time before the first and after the last event of a request that is searched for causes, in ms. */
const timeBefore = 2_000;
const timeAfter = 500;

const serverEvents: ReadonlySet<EventName> = new Set<EventName>([
  "serverSeen",
  "serverLeaving",
  "serverGone",
  "serverSuspended",
  "serverPaused",
  "serverLimited",
  "serverLimitEnded",
  "engineClaimed",
  "engineLeaseLost",
]);

const nodeEvents: ReadonlySet<EventName> = new Set<EventName>([
  "nodeStarted",
  "nodeReady",
  "drainStarted",
  "drainFinished",
  "drainTimedOut",
  "logLinesLeftOut",
  "storeLost",
  "storeRegained",
  "processPaused",
  "processStalled",
  "revisionInForce",
]);

/** Builds the trace of a request from the events of any number of nodes; undefined if none names it. */
export function buildRequestTrace(
  events: readonly LoggedEvent[],
  requestId: string,
): RequestTrace | undefined {
  const own = events
    .filter(({ fields }) => fields.requestId === requestId)
    .sort(compareEvents);
  const [first] = own;
  const last = own.at(-1);
  if (first === undefined || last === undefined) return undefined;
  const nodes = new Set(own.map(({ node }) => node));
  const servers = new Set(
    own.flatMap(({ fields: { server } }) =>
      typeof server === "string" ? [server] : [],
    ),
  );
  const related = events.filter(
    (event) =>
      event.fields.requestId !== requestId &&
      event.time.wall >= first.time.wall - timeBefore &&
      event.time.wall <= last.time.wall + timeAfter &&
      isRelated(event, { nodes, servers }),
  );
  return {
    events: [...own, ...related].sort(compareEvents),
    conclusion: conclude(own, related),
  };
}

function isRelated(
  { event, node, fields }: LoggedEvent,
  to: {
    readonly nodes: ReadonlySet<string>;
    readonly servers: ReadonlySet<string>;
  },
): boolean {
  const { server } = fields;
  if (typeof server !== "string" || !to.servers.has(server)) {
    return nodeEvents.has(event) && to.nodes.has(node);
  }
  if (event === "engineOrdered") return isFailedOrder(fields);
  return serverEvents.has(event);
}

function isFailedOrder({ answer }: LoggedEvent["fields"]): boolean {
  return answer !== "accepted" && answer !== "done";
}

function conclude(
  own: readonly LoggedEvent[],
  related: readonly LoggedEvent[],
): string {
  const final = own.findLast(({ event }) =>
    ["requestAnswered", "requestRefused", "requestCancelled"].includes(event),
  );
  const parts = [final === undefined ? concludeOpen(own) : describeEnd(final)];
  const sent = own.filter(({ event }) => event === "requestSent");
  if (sent.length > 0) {
    const names = sent.map(({ fields }) => String(fields.server)).join(", ");
    parts.push(`It was sent ${sent.length} time(s): ${names}.`);
  } else {
    parts.push("It was never sent, so it has not run.");
  }
  for (const { fields } of own.filter(
    ({ event }) => event === "requestSendFailed",
  )) {
    parts.push(`The send to ${fields.server} failed: ${fields.detail}.`);
  }
  parts.push(...describeCauses(related));
  return parts.join("\n");
}

function describeEnd({ event, fields, node }: LoggedEvent): string {
  if (event === "requestCancelled")
    return `The caller of ${node} disconnected and left its request unfinished.`;
  if (event === "requestAnswered") {
    const { firstByte, longestPause, target, server } = fields;
    return `Answered by ${server}: first byte after ${firstByte} ms, longest pause ${longestPause} ms, target ${target} ms.`;
  }
  const code = String(fields.code);
  const entry = resultCodes[code as ResultCodeName];
  const number = entry === undefined ? "" : `${entry.number} `;
  const remedy = entry === undefined ? "" : `\nRemedy: ${entry.remedy}`;
  return `Refused by ${node} after ${fields.age} ms with ${number}${code}: ${fields.detail}.${remedy}`;
}

function concludeOpen(own: readonly LoggedEvent[]): string {
  const last = own.at(-1) as LoggedEvent;
  return `No end is logged: ${last.node} stopped after event ${last.number} (${last.event}), still runs the request, or left lines out.`;
}

function describeCauses(related: readonly LoggedEvent[]): string[] {
  const counts = new Map<string, number>();
  for (const { event, fields, node } of related) {
    const where = fields.server === undefined ? `at ${node}` : fields.server;
    const answer = event === "engineOrdered" ? ` ${fields.answer}` : "";
    const what = `${event}${answer} ${where}`;
    counts.set(what, (counts.get(what) ?? 0) + 1);
  }
  if (counts.size === 0) return [];
  const list = [...counts].map(([what, count]) =>
    count === 1 ? what : `${what} (${count} times)`,
  );
  return [`Related events: ${list.join("; ")}.`];
}
