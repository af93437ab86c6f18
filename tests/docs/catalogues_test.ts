import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import {
  listDashboardMetrics,
  renderDashboard,
  renderEventCatalogue,
  renderMetrics,
  renderResultCodes,
} from "../../scripts/catalogues.ts";
import { eventCatalogue } from "../../src/core/observe/events.ts";
import { metricCatalogue } from "../../src/core/observe/metrics.ts";
import { resultCodes } from "../../src/core/results/codes.ts";

// Guards against committed pages that differ from the tables in the code.

test("docs/result-codes.md matches the table in the code", () => {
  assert.equal(
    readFileSync("docs/result-codes.md", "utf8"),
    renderResultCodes(),
    "run npm run docs",
  );
});

test("docs/log-events.md matches the catalogue in the code", () => {
  assert.equal(
    readFileSync("docs/log-events.md", "utf8"),
    renderEventCatalogue(),
    "run npm run docs",
  );
});

test("docs/metrics.md and docs/grafana.json match the tables in the code", () => {
  assert.equal(readFileSync("docs/metrics.md", "utf8"), renderMetrics());
  assert.equal(readFileSync("docs/grafana.json", "utf8"), renderDashboard());
  for (const name of listDashboardMetrics()) {
    assert.ok(name in metricCatalogue, `the dashboard asks for ${name}`);
  }
});

test("no number is used twice among result codes or events", () => {
  for (const table of [resultCodes, eventCatalogue]) {
    const numbers = Object.values(table).map(({ number }) => number);
    assert.equal(new Set(numbers).size, numbers.length);
  }
});
