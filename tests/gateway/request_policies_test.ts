import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  chooseTarget,
  findRoute,
  type GatewayConfiguration,
  type GatewayRoute,
  groupRoutes,
} from "../../src/core/gateway/configuration.ts";
import { decideRetry } from "../../src/core/gateway/retry_decision.ts";
import {
  createServerHealth,
  isSuspended,
  recordCallResult,
} from "../../src/core/gateway/server_health.ts";
import { StreamCursor } from "../../src/core/gateway/stream_cursor.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import { createRoute } from "./gateway_values.ts";

function createConfiguration(routes: GatewayRoute[]): GatewayConfiguration {
  return {
    revision: 1 as GatewayConfiguration["revision"],
    routes: groupRoutes(routes),
    services: new Map(),
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeout: millis(1),
      idleTimeout: millis(1),
    },
  };
}

test("the longest prefix of the host wins", () => {
  const configuration = createConfiguration([
    createRoute({ name: "short", prefix: "/a/" }),
    createRoute({ name: "long", prefix: "/a/b/" }),
    createRoute({ name: "other", prefix: "/a/b/c/", host: "x.example" }),
  ]);
  const find = (path: string) =>
    findRoute(configuration, { host: "h.example", path })?.name;
  assert.equal(find("/a/b/c/d"), "long");
  assert.equal(find("/a/x"), "short");
  assert.equal(find("/b/"), undefined);
  assert.equal(find("/a"), undefined);
});

test("a traffic split gives each service its share", () => {
  const route = createRoute({
    targets: [
      { service: brandString("a"), weight: 90 },
      { service: brandString("b"), weight: 10 },
      { service: brandString("c"), weight: 0 },
    ],
  });
  assert.equal(chooseTarget(route, 0), "a");
  assert.equal(chooseTarget(route, 0.89), "a");
  assert.equal(chooseTarget(route, 0.91), "b");
  assert.equal(chooseTarget(route, 0.999_999), "b");
});

const history = {
  retryRule: "once" as const,
  resumable: false,
  maxAttempts: 3,
  runs: 1,
  rejections: 0,
  hasStarted: false,
};

// Guards against sending a booking twice that may have run.
test("a call that may run once is not sent again after a broken answer", () => {
  for (const kind of ["broken", "crossed"] as const) {
    assert.equal(decideRetry(history, { kind }).kind, "give-up");
  }
  const step = decideRetry(history, { kind: "server-error" });
  assert.equal(step.kind, "pass-on");
});

test("a call that did not run is sent again, also one that may run once", () => {
  const notRun = { ...history, runs: 0 };
  const rejected = decideRetry(notRun, { kind: "not-run" });
  assert.deepEqual(rejected, { kind: "again", usesRetryBudget: true });
  const unreachable = decideRetry(notRun, { kind: "unreachable" });
  assert.deepEqual(unreachable, { kind: "again", usesRetryBudget: false });
});

test("a stream is resumed at another server only if the route allows it, within its attempts", () => {
  const stream = { ...history, retryRule: "stream" as const, hasStarted: true };
  const broken = { kind: "broken" } as const;
  assert.equal(decideRetry(stream, broken).kind, "give-up");
  const resumable = { ...stream, resumable: true };
  assert.equal(decideRetry(resumable, broken).kind, "again");
  const spent = { ...resumable, runs: 3 };
  assert.equal(decideRetry(spent, broken).kind, "give-up");
});

test("a server is left out after failures and tried again later", () => {
  const health = createServerHealth();
  const id = brandString<ServerId>("s1");
  const record = (result: "good" | "bad" | "unreachable", now: number) =>
    recordCallResult(health, id, { result, now: millis(now) });
  record("bad", 0);
  assert.equal(isSuspended(health, id, millis(1)), false);
  record("bad", 10);
  assert.equal(isSuspended(health, id, millis(11)), true);
  assert.equal(isSuspended(health, id, millis(5_000)), false);
  record("good", 5_000);
  record("unreachable", 5_010);
  assert.equal(isSuspended(health, id, millis(5_020)), true);
});

const encoder = new TextEncoder();
const decoder = new TextDecoder();

test("only whole events are passed on, and the id of the last one is kept", () => {
  const cursor = StreamCursor.create();
  const push = (text: string) => {
    const whole = cursor.push(encoder.encode(text));
    return decoder.decode(whole.bytes);
  };
  assert.equal(push("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  assert.equal(cursor.lastId, "1");
  assert.equal(push("ta: b\n"), "");
  assert.equal(push("\nid: 3\n"), "id: 2\ndata: b\n\n");
  assert.equal(cursor.lastId, "2");
  assert.ok(cursor.partialBytes > 0);
  cursor.discardPartialEvent();
  assert.equal(push("id: 3\ndata: c\r\n\r\n"), "id: 3\ndata: c\r\n\r\n");
  assert.equal(cursor.lastId, "3");
});

test("an event that is cut at any byte is passed on once", () => {
  const text = "id: 7\ndata: xyz\n\n";
  for (let cut = 0; cut <= text.length; cut++) {
    const cursor = StreamCursor.create("6");
    const parts = [text.slice(0, cut), text.slice(cut)];
    const passed = parts
      .map((part) => decoder.decode(cursor.push(encoder.encode(part)).bytes))
      .join("");
    assert.equal(passed, text);
    assert.equal(cursor.count, 1);
    assert.equal(cursor.lastId, "7");
  }
});

test("a comment between the events of a stream neither needs an id nor changes where it resumes", () => {
  const cursor = StreamCursor.create();
  const push = (text: string) => cursor.push(encoder.encode(text));
  assert.equal(push("id: 1\ndata: a\n\n: waiting\n\n").count, 2);
  assert.ok(cursor.isResumable);
  cursor.discardPartialEvent();
  assert.equal(push(":\n\n").fault, undefined);
  assert.equal(push(": x\nid: 2\ndata: b\n\n").fault, undefined);
  assert.equal(cursor.lastId, "2");
});

test("an event that repeats an earlier one ends the stream, and those before it are passed on", () => {
  const cursor = StreamCursor.create();
  const push = (text: string) => cursor.push(encoder.encode(text));
  const { bytes, fault } = push("id: 9\n\nid: 10\n\nid: 9\n\n");
  assert.equal(decoder.decode(bytes), "id: 9\n\nid: 10\n\n");
  assert.notEqual(fault, undefined);
  assert.equal(cursor.lastId, "10");
});
