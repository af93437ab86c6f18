import { eventCatalogue } from "../src/core/observe/events.ts";
import { metricCatalogue } from "../src/core/observe/metrics.ts";
import { resultCodes } from "../src/core/results/codes.ts";

/** Renders the page of the result codes. */
export function renderResultCodes(): string {
  const rows = Object.entries(resultCodes).map(
    ([name, code]) =>
      `| ${code.number} | \`${name}\` | ${code.status} | \`${code.outcome}\` | ${code.meaning} | ${code.remedy} |`,
  );
  return `# Result codes

Written by \`npm run docs\` from \`src/core/results/*_codes.ts\`. A refusal carries the number in \`error.code\`, the name in \`error.type\`, and whether the request ran in \`error.outcome\` and the header \`x-outcome\`; the outcome below applies unless the answer states a more exact one.

| number | name | HTTP status | outcome | meaning | remedy |
| --- | --- | --- | --- | --- | --- |
${rows.join("\n")}
`;
}

/** Renders the page of the log events. */
export function renderEventCatalogue(): string {
  const entries = Object.entries(eventCatalogue).sort(
    ([, first], [, second]) => first.number - second.number,
  );
  const rows = entries.map(
    ([name, event]) =>
      `| ${event.number} | \`${name}\` | ${event.level} | ${event.meaning} |`,
  );
  return `# Log and timeline events

Written by \`npm run docs\` from \`src/core/observe/*_events.ts\`. Log lines are JSON, written to standard error by \`goldcrestwinch node\` and to standard output by the program for the users' platform, with the fields \`event\` (number), \`name\`, \`node\`, and, where they apply, \`requestId\`, \`engine\`, \`adapter\`. The timeline holds the same events.

| number | name | level | meaning |
| --- | --- | --- | --- |
${rows.join("\n")}
`;
}

/** Renders the page of the metrics. */
export function renderMetrics(): string {
  const rows = Object.entries(metricCatalogue).map(
    ([name, help]) => `| \`goldcrestwinch_${name}\` | ${help} |`,
  );
  return `# Metrics

Written by \`npm run docs\` from \`src/core/observe/metrics.ts\`. \`GET /metrics\` on the caller listener serves those that have a value. \`docs/grafana.json\` is a dashboard of the most useful ones.

| name | meaning |
| --- | --- |
${rows.join("\n")}
`;
}

const dashboardPanels: readonly {
  title: string;
  unit: string;
  query: string;
}[] = [
  {
    title: "Requests by kind and result",
    unit: "reqps",
    query: "sum by (kind, code) (rate(goldcrestwinch_requests_total[1m]))",
  },
  {
    title: "First token, 95th percentile",
    unit: "ms",
    query:
      "histogram_quantile(0.95, sum by (le) (rate(goldcrestwinch_first_token_ms_bucket[1m])))",
  },
  {
    title: "Tokens",
    unit: "tokens/s",
    query: "sum(rate(goldcrestwinch_tokens_total[1m]))",
  },
  {
    title: "Requests waiting at engines",
    unit: "short",
    query: "max by (engine) (goldcrestwinch_engine_queued)",
  },
  {
    title: "Requests running at engines",
    unit: "short",
    query: "max by (engine) (goldcrestwinch_engine_running)",
  },
  {
    title: "Requests refused by engine owners",
    unit: "short",
    query: "max by (engine, bound) (goldcrestwinch_engine_turned_away)",
  },
  {
    title: "Nodes ready",
    unit: "short",
    query: "sum(goldcrestwinch_node_ready)",
  },
  {
    title: "Nodes without a usable session",
    unit: "short",
    query: "count(goldcrestwinch_session_usable == 0)",
  },
  {
    title: "Nodes without the table",
    unit: "short",
    query: "sum(goldcrestwinch_table_outage)",
  },
  {
    title: "Members by state",
    unit: "short",
    query: "max by (state) (goldcrestwinch_members)",
  },
  {
    title: "Configuration revision, lowest and highest",
    unit: "short",
    query:
      "min(goldcrestwinch_config_revision) or max(goldcrestwinch_config_revision)",
  },
  {
    title: "Table transactions",
    unit: "short",
    query:
      "sum(rate(goldcrestwinch_session_transactions_total[1m])) + sum(rate(goldcrestwinch_claim_transactions_total[1m]))",
  },
  {
    title: "Booking calls by kind",
    unit: "reqps",
    query: "sum by (kind) (rate(goldcrestwinch_booking_calls_total[1m]))",
  },
  {
    title: "Messages refused for their signature",
    unit: "short",
    query:
      "sum by (listener) (rate(goldcrestwinch_signature_rejected_total[5m]))",
  },
];

/** Renders the Grafana dashboard as JSON. */
export function renderDashboard(): string {
  const panels = dashboardPanels.map(({ title, unit, query }, index) => ({
    id: index + 1,
    type: "timeseries",
    title,
    datasource: { type: "prometheus", uid: "prometheus" },
    gridPos: { h: 8, w: 12, x: (index % 2) * 12, y: Math.floor(index / 2) * 8 },
    fieldConfig: { defaults: { unit }, overrides: [] },
    targets: [{ refId: "A", expr: query }],
  }));
  const dashboard = {
    title: "goldcrestwinch",
    uid: "goldcrestwinch",
    schemaVersion: 39,
    time: { from: "now-1h", to: "now" },
    refresh: "10s",
    panels,
  };
  return `${JSON.stringify(dashboard, null, 2)}\n`;
}

/** Names of the metrics that the dashboard queries, without their common prefix. */
export function listDashboardMetrics(): string[] {
  return dashboardPanels.flatMap(({ query }) =>
    [...query.matchAll(/goldcrestwinch_([a-z_]+)/g)].map((match) =>
      (match[1] as string).replace(/_bucket$/, ""),
    ),
  );
}
