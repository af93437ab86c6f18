import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  judgeDryRun,
  type VerdictFacts,
} from "../../src/core/gateway/dry_run.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import { refuse } from "../../src/core/results/refusal.ts";

// Guards against verdicts that name another cause than the one that decides first on a request.

const server = brandString<ServerId>("s1");
const selected = { server, asksOwner: false, lateRefusal: undefined };
const facts: VerdictFacts = {
  stopRefusal: undefined,
  credit: undefined,
  reachesNoServer: false,
  isBehindOthers: false,
  selected,
  model: "held",
  resumesAt: undefined,
  waitEnd: millis(1_000),
};

function judge(changes: Partial<VerdictFacts>): string {
  const verdict = judgeDryRun({ ...facts, ...changes });
  if (verdict.kind === "refused") return verdict.code;
  return verdict.kind === "waits" ? verdict.reason : verdict.kind;
}

test("a credit that is used up refuses before a lost reach passes the request on", () => {
  const credit = { units: 1, left: 0, state: "used-up" } as const;
  assert.equal(judge({ credit, reachesNoServer: true }), "quotaExceeded");
  assert.equal(judge({ reachesNoServer: true }), "passed-on");
});

test("a server that begins too late refuses, and without a server its cause counts", () => {
  const lateRefusal = refuse("tooLateToBegin", "late");
  const late = { ...selected, lateRefusal };
  assert.equal(judge({}), "sent");
  assert.equal(judge({ selected: late }), "tooLateToBegin");
  assert.equal(judge({ selected: undefined }), "no-server");
  assert.equal(judge({ selected: undefined, model: "loadable" }), "model-load");
});
