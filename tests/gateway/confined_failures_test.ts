import assert from "node:assert/strict";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { FrontServer } from "../../platform/front_server.ts";
import { headers } from "../../platform/wire_names.ts";
import { createFailureLog } from "../../src/adapters/observe/failure_log.ts";
import { UdpNodeChannel } from "../../src/adapters/peers/node_channel.ts";
import { TrpcNodeLinks } from "../../src/adapters/peers/node_links.ts";
import { createNodeServer } from "../../src/adapters/peers/node_router.ts";
import { ConfinedClock } from "../../src/adapters/time/confined_clock.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import { brandString } from "../../src/core/ids.ts";
import type { Gateway } from "../../src/node/gateway/gateway.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";
import type { NodeMessage } from "../../src/ports/nodes.ts";
import { findFreePorts } from "../support/free_ports.ts";
import { waitUntil } from "../support/wait.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { createRoute, createServer } from "./gateway_values.ts";
import { RowFleet } from "./row_fleet.ts";

const host = "127.0.0.1";

function fail(): never {
  throw new Error("Unexpected");
}

function recordFailures() {
  const parts: string[] = [];
  return { parts, report: (part: string) => void parts.push(part) };
}

// Guards against an error in one timer that ends the process, or the timers behind it.
test("a timer that throws is reported, and later timers run", async () => {
  const virtual = VirtualClock.create();
  const { parts, report } = recordFailures();
  const clock = ConfinedClock.create(virtual, report);
  let hasRun = false;
  clock.schedule(millis(1), fail);
  clock.schedule(millis(2), () => {
    hasRun = true;
  });
  await virtual.advance(millis(5));
  assert.deepEqual(parts, ["timer"]);
  assert.ok(hasRun);
});

// Guards against a message of another node that ends the process.
test("a datagram whose handling throws is reported, and the next one arrives", async (context) => {
  const [port] = (await findFreePorts(1)) as [number];
  const { parts, report } = recordFailures();
  const channel = UdpNodeChannel.create({
    host,
    port,
    journal: silentJournal,
    reportFailure: report,
  });
  context.after(() => channel.close());
  let received = 0;
  channel.onMessage(() => {
    received++;
    if (received === 1) fail();
  });
  await channel.open();
  const from = brandString("n1") as NodeMessage["from"];
  const message: NodeMessage = { type: "use", from, engines: [] };
  channel.send(`${host}:${port}`, message);
  await waitUntil(() => parts.length === 1);
  assert.deepEqual(parts, ["datagram"]);
  channel.send(`${host}:${port}`, message);
  await waitUntil(() => received === 2);
});

// Guards against a call of another node that fails without a trace.
test("a node call whose handling throws is reported, and the caller gets an answer", async (context) => {
  const { parts, report } = recordFailures();
  const server = createNodeServer(
    {
      acquire: fail,
      requestModel: fail,
      requestPermit: fail,
      findStream: fail,
      serve: fail,
      dryRun: fail,
    },
    report,
  );
  server.listen(0, host);
  await waitUntil(() => server.listening);
  context.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const answer = await TrpcNodeLinks.create().requestModel(`${host}:${port}`, {
    engine: brandString("e1"),
    model: brandString("m0"),
    requests: 1,
  });
  assert.deepEqual(answer, { kind: "refused", reason: "unreachable" });
  assert.deepEqual(parts, ["nodeCall"]);
});

// Guards against a request that ends the process, or whose caller waits for good.
test("a request whose handling throws is reported and answered, and the next one is served", async (context) => {
  const { parts, report } = recordFailures();
  let opened = 0;
  const gateway = {
    context: { configuration: undefined },
    open: (_: unknown, sink: { start(head: unknown): void; end(): void }) => {
      opened++;
      if (opened === 1) fail();
      sink.start({ status: 204, headers: [] });
      sink.end();
      return { cancel() {} };
    },
  } as unknown as Gateway;
  const front = FrontServer.create({
    gateway,
    clock: RealClock.create(),
    reportFailure: report,
  });
  const port = await front.listen(`${host}:0`);
  context.after(() => front.server.close());
  const send = () =>
    fetch(`http://${host}:${port}/book/1`, {
      method: "POST",
      body: "x",
      headers: { [headers.requestId]: "r1", connection: "close" },
    });
  const failed = await send();
  assert.equal(failed.status, 500);
  assert.match(await failed.text(), /"outcome":"may-have-run"/);
  assert.deepEqual(parts, ["request"]);
  assert.equal((await send()).status, 204);
});

// Guards against a log that a recurring failure fills, and against a failure that is not counted.
test("a failure that recurs is counted each time and logged once a second", async () => {
  const clock = VirtualClock.create();
  const lines: unknown[] = [];
  let counted = 0;
  const report = createFailureLog({
    clock,
    journal: { record: (_, fields) => void lines.push(fields?.leftOut) },
    meter: { ...silentMeter, count: () => counted++ },
  });
  for (let at = 0; at < 10; at++) report("timer", new Error("again"));
  await clock.advance(millis(1_000));
  report("timer", new Error("again"));
  assert.equal(counted, 11);
  assert.deepEqual(lines, [0, 9]);
});

// Guards against one answer of a node that ends the reading of all later rows.
test("a node whose call for rows throws receives later changes", async () => {
  const fleet = new RowFleet({ nodes: 6, dataCentres: 2 });
  fleet.write("operator", "config", "1");
  fleet.start();
  await fleet.advance(5_000);
  for (const node of fleet.nodes) node.failsNextCall = true;
  await fleet.advance(2_000);
  const failed = fleet.nodes.filter(({ failsNextCall }) => !failsNextCall);
  assert.ok(failed.length > 0);
  const version = fleet.write("operator", "config", "2");
  await fleet.advance(2_500);
  assert.equal(fleet.countReceived("operator", "config", version), 6);
});

// Guards against a failed check that ends the checks, so that entries of servers that left stay for good.
test("a check of the gateway that throws is followed by the next one", async () => {
  const { parts, report } = recordFailures();
  const { gateway, clock } = new GatewayFixture({ reportFailure: report });
  let checks = 0;
  gateway.context.availability.removeEnded = () => {
    checks++;
    fail();
  };
  await clock.advance(millis(1_000));
  assert.equal(checks, 10);
  assert.deepEqual(new Set(parts), new Set(["timer"]));
});

// Guards against a caller that waits until its deadline, or a process that ends, after an error in a request's task.
test("a request whose task fails is refused as not run, and the next one is served", async () => {
  const { parts, report } = recordFailures();
  const fixture = new GatewayFixture({ reportFailure: report });
  fixture.configure([createRoute({})]);
  fixture.register(createServer({}));
  await fixture.advance(100);
  const { context } = fixture.gateway;
  const { countRequest } = context;
  context.countRequest = fail;
  const failed = fixture.open();
  await fixture.advance(1);
  assert.equal(failed.answer.refusal?.code, "unexpectedError");
  assert.equal(failed.answer.refusal?.outcome, "not-run");
  assert.deepEqual(parts, ["request"]);
  context.countRequest = countRequest;
  const { answer } = fixture.open();
  await fixture.advance(1);
  assert.equal(answer.outcome, "open");
  assert.equal(fixture.attempts.length, 1);
  assert.equal(fixture.gateway.openRequests, 1);
});
