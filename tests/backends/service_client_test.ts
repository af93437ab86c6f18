import assert from "node:assert/strict";
import { type TestContext, test } from "node:test";
import { ServiceClient } from "../../src/adapters/backends/service_client.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis, sleep } from "../../src/core/clock.ts";
import { brandString, type RequestId } from "../../src/core/ids.ts";
import type { ServiceCall } from "../../src/ports/service.ts";
import { HttpHost } from "../../src/standins/http_host.ts";
import { MemoryService } from "../../src/standins/memory_service.ts";
import { createServiceServer } from "../../src/standins/service_server.ts";

const clock = RealClock.create();
const id = brandString<RequestId>("r1");

function reserve(fields: Partial<ServiceCall> = {}): ServiceCall {
  return {
    requestId: id,
    method: "POST",
    path: "/reserve?depot=2",
    contentType: "application/json",
    body: Buffer.from('{"sets":2}'),
    timeout: millis(300),
    ...fields,
  };
}

function lookUp(fields: Partial<ServiceCall> = {}): ServiceCall {
  const body = new Uint8Array();
  return reserve({ method: "GET", body, repeatable: true, ...fields });
}

async function setUp(context: TestContext) {
  const service = MemoryService.create(clock);
  const host = await createServiceServer(service, { clock });
  const client = connect(context, host);
  return { service, host, client };
}

function connect(context: TestContext, host: HttpHost) {
  const { origin } = host;
  const client = ServiceClient.create({ origin, clock, connections: 8 });
  context.after(async () => {
    await client.close();
    await host.close();
  });
  return client;
}

test("an answer is returned with its status, content type and body", async (context) => {
  const { client, service } = await setUp(context);
  const answer = (await client.call(reserve())).unsafeCoerce();
  assert.equal(answer.status, 201);
  assert.equal(answer.contentType, "application/json");
  assert.deepEqual(JSON.parse(Buffer.from(answer.body).toString()), {
    path: "/reserve?depot=2",
    booking: 1,
  });
  assert.equal(service.countRuns(id), 1);
});

test("a call whose answer is lost, late or missing may have run and is not sent again", async (context) => {
  const { client, service } = await setUp(context);
  const kinds: string[] = [];
  service.answerDelay = millis(600);
  for (const fault of ["broken", "late", "silent"] as const) {
    service.fault = fault;
    const result = await client.call(reserve());
    kinds.push(result.swap().unsafeCoerce().kind);
  }
  await sleep(clock, millis(400));
  assert.deepEqual(kinds, ["broken", "timeout", "timeout"]);
  assert.equal(service.countRuns(id), 3);
});

test("only a call that cannot have left the client counts as not sent", async (context) => {
  const { client, service, host } = await setUp(context);
  await host.close();
  const result = await client.call(reserve());
  assert.equal(result.swap().unsafeCoerce().kind, "not-sent");
  assert.equal(service.countRuns(id), 0);
});

test("a leaving server reports that it did not run the call", async (context) => {
  const { client, service } = await setUp(context);
  service.leaving = true;
  const answer = (await client.call(reserve())).unsafeCoerce();
  assert.deepEqual([answer.status, answer.notRun], [503, "leaving"]);
  assert.equal(service.countRuns(id), 0);
});

test("an answer to another call is not handed to the caller", async (context) => {
  const host = await HttpHost.create(({ response }) => {
    response.writeHead(200, { "x-request-id": "r2" }).end("{}");
  });
  const result = await connect(context, host).call(reserve());
  assert.equal(result.swap().unsafeCoerce().kind, "crossed");
});

test("calls that are not repeatable never share a connection, lookups do", async (context) => {
  const { client, host } = await setUp(context);
  for (let count = 0; count < 3; count++) await client.call(reserve());
  assert.equal(host.accepted, 3);
  for (let count = 0; count < 10; count++) await client.call(lookUp());
  assert.ok(host.accepted <= 3 + 2, `${host.accepted} connections`);
});

test("the in-memory service reproduces these failures under virtual time", async () => {
  const virtual = VirtualClock.create();
  const service = MemoryService.create(virtual);
  const failures: string[] = [];
  service.answerDelay = millis(200);
  for (const fault of ["late", "broken", "silent"] as const) {
    service.fault = fault;
    const result = service.call(reserve());
    await virtual.advance(millis(300));
    failures.push(
      (await result)
        .swap()
        .map(({ kind }): string => kind)
        .orDefault("none"),
    );
  }
  service.down = true;
  const result = await service.call(reserve());
  failures.push(result.swap().unsafeCoerce().kind);
  assert.deepEqual(failures, ["none", "broken", "timeout", "not-sent"]);
  assert.equal(service.countRuns(id), 3);
});

// The node sent further calls to a server that had asked for a pause, and passed its refusal on as an answer.
test("a refusal that asks for a pause is not run and names the time", async (context) => {
  const { client, service } = await setUp(context);
  service.pausedUntil = millis(clock.now() + 2_000);
  const answer = (await client.call(reserve())).unsafeCoerce();
  assert.equal(answer.notRun, "paused");
  const seconds = Number(answer.retryAfter);
  assert.ok(seconds > 1 && seconds <= 2, `${seconds} s`);
  assert.equal(service.countRuns(id), 0);
});

test("an answer of a server that leaves says so, and is an answer all the same", async (context) => {
  const { client, service } = await setUp(context);
  service.isLeaving = true;
  const answer = (await client.call(reserve())).unsafeCoerce();
  assert.equal(answer.status, 201);
  assert.equal(answer.isLeaving, true);
  assert.equal(answer.notRun, undefined);
});
