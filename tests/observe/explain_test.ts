import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { test } from "node:test";
import { parseLogLines } from "../../src/adapters/observe/log_lines.ts";
import { eventCatalogue } from "../../src/core/observe/events.ts";
import { buildRequestTrace } from "../../src/core/observe/request_trace.ts";

// Guards against traces that miss the cause of a refusal or misstate the outcome.

function line(
  at: number,
  node: string,
  name: keyof typeof eventCatalogue,
  fields: Record<string, unknown> = {},
): string {
  const event = eventCatalogue[name].number;
  return JSON.stringify({ level: 30, time: at, node, event, name, ...fields });
}

const refused = [
  line(5_000, "edge-1", "requestSent", { requestId: "r1", server: "e1" }),
  line(5_100, "edge-2", "serverSuspended", { server: "e1", requestId: "r9" }),
  line(5_200, "edge-1", "requestSendFailed", {
    requestId: "r1",
    server: "e1",
    detail: "broken: other side closed",
  }),
  line(5_201, "edge-1", "requestRefused", {
    requestId: "r1",
    age: 201,
    code: "serviceBroken",
    detail: "The answer was lost",
  }),
];
const others = [
  line(1_000, "edge-2", "serverGone", { server: "e1" }),
  line(5_050, "edge-2", "serverGone", { server: "e2" }),
  line(5_060, "edge-3", "engineOrdered", { server: "e1", answer: "accepted" }),
  line(5_070, "edge-3", "engineOrdered", { server: "e1", answer: "lost" }),
  line(5_080, "edge-3", "storeLost"),
  line(5_090, "edge-1", "storeLost"),
];

test("a trace holds the request's events and related events of its servers and node, in order", () => {
  const { events } = parseLogLines([...others, ...refused].join("\n"));
  const trace = buildRequestTrace(events, "r1");
  assert.deepEqual(
    trace?.events.map(({ node, event }) => `${node} ${event}`),
    [
      "edge-1 requestSent",
      "edge-3 engineOrdered",
      "edge-1 storeLost",
      "edge-2 serverSuspended",
      "edge-1 requestSendFailed",
      "edge-1 requestRefused",
    ],
  );
});

test("the conclusion names the result code, each send and the related events", () => {
  const { events } = parseLogLines([...others, ...refused].join("\n"));
  const conclusion = buildRequestTrace(events, "r1")?.conclusion ?? "";
  assert.match(conclusion, /Refused by edge-1 after 201 ms with \d+ service/);
  assert.match(conclusion, /sent 1 time\(s\): e1/);
  assert.match(conclusion, /failed: broken: other side closed/);
  assert.match(conclusion, /serverSuspended e1/);
  assert.match(conclusion, /engineOrdered lost e1/);
});

// A request that was never sent showed no event of the server that had asked for a pause.
test("the trace of a request that was refused during a pause shows the pause", () => {
  const lines = [
    line(4_000, "edge-1", "serverPaused", { server: "e1", duration: 3_000 }),
    line(5_000, "edge-1", "requestRefused", {
      requestId: "r1",
      server: "e1",
      age: 0,
      code: "serversPaused",
    }),
  ];
  const { events } = parseLogLines(lines.join("\n"));
  const conclusion = buildRequestTrace(events, "r1")?.conclusion ?? "";
  assert.match(conclusion, /serverPaused e1/);
  assert.match(conclusion, /never sent, so it has not run/);
});

// A killed node logs no end; the trace must not report that as an answer.
// A request that waited for its own process showed nothing but a late failure.
test("the trace of a request that was late since its node handled no event shows the stall", () => {
  const stall = { gap: 1_921, processorTime: 2_045 };
  const lines = [
    line(5_000, "edge-1", "requestSent", { requestId: "r1", server: "e1" }),
    line(6_901, "edge-1", "requestRefused", { requestId: "r1", age: 1_901 }),
    line(6_990, "edge-1", "processStalled", stall),
    line(6_990, "edge-2", "processStalled", stall),
  ];
  const { events } = parseLogLines(lines.join("\n"));
  const trace = buildRequestTrace(events, "r1");
  const stalls = trace?.events.filter(
    ({ event }) => event === "processStalled",
  );
  assert.deepEqual(
    stalls?.map(({ node, fields }) => ({ node, ...fields })),
    [{ node: "edge-1", ...stall }],
  );
});

test("a request without a logged end is said to be open", () => {
  const { events } = parseLogLines(refused.slice(0, 1).join("\n"));
  assert.match(buildRequestTrace(events, "r1")?.conclusion ?? "", /No end is/);
});

test("text before the JSON of a line is ignored, and lines without an event are counted", () => {
  const text = `  5.0 edge-1 ${refused[0]}\nnot a log line\n{"time":1}\n{"cut`;
  const { events, skippedLines } = parseLogLines(text);
  assert.equal(events.length, 1);
  assert.equal(skippedLines, 3);
});

test("the command prints the trace of any number of files, as JSON and as a page too", () => {
  const folder = mkdtempSync(path.join(tmpdir(), "explain-"));
  try {
    const files = [refused, others].map((lines, index) => {
      const file = path.join(folder, `${index}.log`);
      writeFileSync(file, lines.join("\n"));
      return file;
    });
    const page = path.join(folder, "trace.html");
    const text = runExplain(["r1", ...files, "--html", page]);
    assert.equal(text.status, 0, text.stderr);
    assert.match(text.stdout, /311 requestSendFailed/);
    assert.match(readFileSync(page, "utf8"), /requestRefused/);
    const json = runExplain(["r1", ...files, "--json"]);
    assert.equal(JSON.parse(json.stdout).events.length, 6);
    assert.equal(runExplain(["unknown", ...files]).status, 1);
    assert.match(runExplain(["r1", "missing.log"]).stderr, /Remedy/);
    assert.match(runExplain(["r1"]).stderr, /No log file/);
  } finally {
    rmSync(folder, { recursive: true });
  }
});

function runExplain(args: readonly string[]) {
  return spawnSync(
    process.execPath,
    ["--import", "tsx", "src/cli/main.ts", "explain", ...args],
    { encoding: "utf8" },
  );
}
