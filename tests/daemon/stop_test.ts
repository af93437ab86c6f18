import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, test } from "node:test";
import { Keyring, readKeyFile } from "../../src/adapters/keys/keyring.ts";
import { createOperatorClient } from "../../src/adapters/peers/operator_client.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis, sleep } from "../../src/core/clock.ts";
import { sendDraft } from "../../src/demo/draft_client.ts";
import {
  type Installation,
  startInstallation,
  stopInstallation,
} from "../../src/demo/installation.ts";
import { applyDemoSheet, waitUntilReady } from "../../src/demo/run.ts";
import { Daemon } from "../../src/node/daemon.ts";
import type { MemoryService } from "../../src/standins/memory_service.ts";
import { assignFreePorts } from "../support/free_ports.ts";
import { formatPost, RawConnection } from "../support/raw_connection.ts";

const clock = RealClock.create();
const reservations = "/services/chains/reservations";
/** Time within which a node without work in progress stops, in ms. */
const idleStopLimit = 3_000;
/** Larger than the buffers of both sockets, smaller than the largest answer. */
const largeAnswerBytes = 14 * 1024 * 1024;

let installation: Installation;
let service: MemoryService;
let archive: Server;
let nextSpare = 0;

before(async () => {
  installation = await startInstallation(clock, {
    regions: ["tatry"],
    nodesPerRegion: 13,
    spareNodes: 12,
  });
  service = installation.site.services.get("tatry-booking") as MemoryService;
  archive = createServer((request, response) => {
    response.setHeader("x-request-id", String(request.headers["x-request-id"]));
    response.end(Buffer.alloc(largeAnswerBytes, "a"));
  });
  await new Promise<void>((resolve) => archive.listen(0, "127.0.0.1", resolve));
  await applyDemoSheet(installation, clock);
  await waitUntilReady(installation.daemons, clock);
});

after(async () => {
  archive.closeAllConnections();
  archive.close();
  await stopInstallation(installation);
});

/** Starts one more node, which also reaches the service with large answers. */
async function startNode(stopTimeout = 60_000): Promise<Daemon> {
  const settings = installation.spare[nextSpare++];
  assert.ok(settings);
  const { port } = archive.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  const daemon = await Daemon.start({
    ...(await assignFreePorts(settings)),
    stop: { timeoutMs: stopTimeout },
    services: [
      ...settings.services,
      {
        name: "archive",
        servers: [{ id: "tatry-archive", region: "tatry", url }],
        idempotent: [],
      },
    ],
  });
  while (!daemon.ready) await sleep(clock, millis(20));
  return daemon;
}

/** Stops a node as the command line does. */
async function finishStop(daemon: Daemon): Promise<void> {
  await daemon.stopped;
  await daemon.stop();
}

/** Number of engines that a node owns. */
function countOwned({ timeline }: Daemon): number {
  const events = timeline.read().filter(({ fields }) => fields.engine);
  const owned = events.filter(({ event }) => event === "engineOwned");
  return new Set(owned.map(({ fields }) => fields.engine)).size;
}

async function waitFor(condition: () => boolean, limit = 5_000) {
  const end = clock.now() + limit;
  while (!condition()) {
    assert.ok(clock.now() < end, "the condition holds in time");
    await sleep(clock, millis(10));
  }
}

// Guards against: the exit cuts a request whose body is still on its way, without any answer.
test("a request whose body has not arrived when the node stops is refused as not run", async () => {
  const daemon = await startNode();
  const caller = await RawConnection.open(daemon.callers);
  caller.write(
    `POST ${reservations} HTTP/1.1\r\nhost: node\r\ncontent-length: 100\r\n\r\n{`,
  );
  await sleep(clock, millis(100));
  daemon.drain();
  await finishStop(daemon);
  await caller.closed;
  assert.match(caller.received, /^HTTP\/1\.1 503 /);
  assert.match(caller.received, /x-outcome: not-run/);
  assert.match(caller.received, /"type":"draining"/);
});

// Guards against: callers keep a connection that the node is about to close, and lose what they send on it.
test("each answer of a stopping node ends its connection", async () => {
  const daemon = await startNode();
  service.fault = "late";
  service.answerDelay = millis(1_500);
  const held = await RawConnection.open(daemon.callers);
  held.write(formatPost(reservations));
  const kept = await RawConnection.open(daemon.callers);
  kept.write("GET /healthz HTTP/1.1\r\nhost: node\r\n\r\n");
  await waitFor(() => kept.received.includes("ok"));
  const halfSent = await RawConnection.open(daemon.callers);
  const request = formatPost(reservations);
  halfSent.write(request.slice(0, -1));
  await sleep(clock, millis(100));
  daemon.drain();
  kept.write(formatPost(reservations));
  halfSent.write(request.slice(-1));
  await Promise.all([kept.closed, halfSent.closed]);
  assert.ok(!held.isClosed, "the call in progress goes on");
  for (const { received } of [kept, halfSent]) {
    assert.match(received, /HTTP\/1\.1 503 /);
    assert.match(received, /x-outcome: not-run/);
    assert.match(received, /connection: close/i);
  }
  await finishStop(daemon);
  await held.closed;
  assert.match(held.received, /^HTTP\/1\.1 201 /);
  service.fault = "none";
});

// Guards against: the first of several calls sent ahead on one connection closes it before the others are answered.
test("calls that were sent ahead on one connection before the stop are all answered", async () => {
  const daemon = await startNode();
  const ran = service.runs.length;
  service.fault = "late";
  service.answerDelay = millis(500);
  const caller = await RawConnection.open(daemon.callers);
  caller.write(formatPost(reservations) + formatPost(reservations));
  await waitFor(() => service.runs.length === ran + 2);
  daemon.drain();
  await finishStop(daemon);
  await caller.closed;
  assert.equal(caller.received.match(/HTTP\/1\.1 201 /g)?.length, 2);
  service.fault = "none";
});

// Guards against: the exit cuts the end of an answer that its caller has not read yet.
test("a slow reader gets its whole answer although the node stops", async () => {
  const daemon = await startNode();
  const caller = await RawConnection.open(daemon.callers);
  caller.pause();
  caller.write(formatPost("/services/archive/reports"));
  await sleep(clock, millis(1_000));
  daemon.drain();
  const stopped = finishStop(daemon);
  await sleep(clock, millis(500));
  caller.resume();
  await stopped;
  await caller.closed;
  const body = caller.received.slice(caller.received.indexOf("\r\n\r\n") + 4);
  assert.equal(body.length, largeAnswerBytes);
});

// Guards against: an operator's change is cut off by the exit, so that its outcome stays unknown.
test("an operator's change in progress is answered before the node exits", async () => {
  const daemon = await startNode();
  const client = createOperatorClient({
    address: daemon.peers,
    keyring: Keyring.create(readKeyFile(installation.keyFile).unsafeCoerce()),
    clock,
  });
  const { revision } = await client.showSheet.query();
  installation.site.table.delay = 400;
  const applied = client.applySheet.mutate({
    base: revision,
    sheet: { adapters: [{ name: "rental-00", versions: ["v1"] }] },
    operator: "stop",
    attempt: "stop-1",
  });
  await sleep(clock, millis(50));
  daemon.drain();
  await finishStop(daemon);
  installation.site.table.delay = 0;
  assert.equal((await applied).revision, revision + 1);
});

test("a node without work stops at once, also when it is told twice", async () => {
  const daemon = await startNode();
  const idle = await RawConnection.open(daemon.callers);
  const startedAt = clock.now();
  daemon.drain();
  daemon.drain();
  await finishStop(daemon);
  await idle.closed;
  assert.ok(clock.now() - startedAt < idleStopLimit);
});

/** Time from the start of a drain until the node has ended at the latest, in ms. */
const shortStopTimeout = 5_000;

// Guards against: a call whose service does not answer keeps a stopping node running, and its outcome is never recorded.
test("a stop ends within its time limit, and what may have run is answered and recorded as such", async () => {
  const daemon = await startNode(shortStopTimeout);
  service.fault = "silent";
  const ran = service.runs.length;
  const book = (headers: Record<string, string>) =>
    fetch(`http://${daemon.callers}${reservations}`, {
      method: "POST",
      headers: { "x-deadline-ms": "60000", ...headers },
      body: "{}",
    });
  const calls = [book({}), book({ "idempotency-key": "stopped" })];
  await waitFor(() => service.runs.length === ran + 2);
  const startedAt = clock.now();
  daemon.drain();
  const answers = await Promise.all(calls);
  for (const answer of answers) {
    assert.equal(answer.status, 504);
    assert.equal(answer.headers.get("x-outcome"), "may-have-run");
  }
  assert.equal(await daemon.stopped, true, "all outcomes are recorded");
  assert.ok(clock.now() - startedAt < shortStopTimeout);
  await daemon.stop();
  service.fault = "none";
  const other = installation.daemons[0] as Daemon;
  const again = await fetch(`http://${other.callers}${reservations}`, {
    method: "POST",
    headers: { "idempotency-key": "stopped" },
    body: "{}",
  });
  assert.match(await again.text(), /outcomeUnknown/);
  assert.equal(service.runs.length, ran + 2, "the call does not run again");
});

// Guards against: a caller that does not read its answer keeps a stopping node running.
test("a caller that never reads its answer does not hold a stop beyond its time limit", async () => {
  const daemon = await startNode(shortStopTimeout);
  const caller = await RawConnection.open(daemon.callers);
  caller.pause();
  caller.write(formatPost("/services/archive/reports"));
  await sleep(clock, millis(1_000));
  const startedAt = clock.now();
  daemon.drain();
  await finishStop(daemon);
  assert.ok(clock.now() - startedAt < shortStopTimeout);
  caller.destroy();
});

// Guards against: a stop during an outage of the table waits for outcomes that it cannot record.
test("a stop ends within its time limit although the table is down", async () => {
  const daemon = await startNode(shortStopTimeout);
  service.fault = "late";
  service.answerDelay = millis(500);
  const answer = fetch(`http://${daemon.callers}${reservations}`, {
    method: "POST",
    headers: { "idempotency-key": "in-outage" },
    body: "{}",
  });
  const ran = service.runs.length;
  await waitFor(() => service.runs.length === ran + 1);
  installation.site.table.outage = true;
  const startedAt = clock.now();
  daemon.drain();
  assert.equal((await answer).status, 201);
  assert.equal(await daemon.stopped, false, "an outcome is not recorded");
  await daemon.stop();
  installation.site.table.outage = false;
  service.fault = "none";
  assert.ok(clock.now() - startedAt < shortStopTimeout);
});

// Guards against: the exit cuts a draft in progress, or ends its stream as if it were complete.
test("drafts that a stopping node has no time for end with an answer that says so", async () => {
  const daemon = await startNode(shortStopTimeout);
  const send = (stream: boolean) =>
    fetch(`http://${daemon.callers}/v1/completions`, {
      method: "POST",
      body: JSON.stringify({
        model: "rental-00@v1",
        prompt: "Draft rental terms",
        max_tokens: 800,
        stream,
      }),
    });
  const streamed = await send(true);
  const collecting = send(false);
  await sleep(clock, millis(500));
  daemon.drain();
  const text = await streamed.text();
  assert.match(text, /"type":"stopped".*"outcome":"may-have-run"/);
  assert.doesNotMatch(text, /\[DONE\]/);
  const collected = await collecting;
  assert.equal(collected.status, 502);
  assert.equal(collected.headers.get("x-outcome"), "may-have-run");
  assert.match(await collected.text(), /"type":"stopped"/);
  assert.equal(await daemon.stopped, true);
  await daemon.stop();
});

// Guards against: the owner of an engine breaks off a stream of another node at its exit, or waits for it without limit.
test("a stream goes on elsewhere when the owner of its engine has no time left", async () => {
  const owner = await startNode(shortStopTimeout);
  const first = installation.daemons[0] as Daemon;
  first.drain();
  await finishStop(first);
  installation = { ...installation, daemons: [] };
  await waitFor(() => countOwned(owner) === 2, 15_000);
  const entry = await startNode();
  const draft = sendDraft({
    origin: `http://${entry.callers}`,
    adapter: "rental-00@v1",
    prompt: "Draft rental terms",
    tokens: 800,
    customer: "rysy",
  });
  await sleep(clock, millis(1_500));
  const startedAt = clock.now();
  owner.drain();
  await finishStop(owner);
  assert.ok(clock.now() - startedAt < shortStopTimeout);
  const { whole, status, text } = await draft;
  assert.ok(whole, `${status} ${text.slice(-300)}`);
  assert.ok(clock.now() - startedAt > shortStopTimeout, "the stream was long");
  await entry.stop();
});
