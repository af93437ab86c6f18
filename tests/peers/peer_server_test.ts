import assert from "node:assert/strict";
import { once } from "node:events";
import type { Server } from "node:http";
import { type AddressInfo, createServer as createTcpServer } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { Keyring } from "../../src/adapters/keys/keyring.ts";
import { Timeline } from "../../src/adapters/observe/timeline.ts";
import { HttpForwarder } from "../../src/adapters/peers/forward_client.ts";
import { ForwardServer } from "../../src/adapters/peers/forward_server.ts";
import { createOperatorClient } from "../../src/adapters/peers/operator_client.ts";
import { createPeerServer } from "../../src/adapters/peers/peer_server.ts";
import { signatureHeader } from "../../src/adapters/peers/signature.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis } from "../../src/core/clock.ts";
import { brandString } from "../../src/core/ids.ts";
import { type Refusal, refuse } from "../../src/core/results/refusal.ts";
import type { AnswerSink, Submission } from "../../src/ports/access.ts";
import { silentMeter } from "../../src/ports/journal.ts";
import type { OperatorPort } from "../../src/ports/operators.ts";

const clock = RealClock.create();
const secret = "a-secret-of-the-tests";
const keyring = Keyring.create([{ id: "k1", secret }]);
const untrustedKeyring = Keyring.create([
  { id: "k1", secret: "a-secret-of-others" },
]);
const timeline = Timeline.create({ node: brandString("n"), clock });

let accepted: { submission: Submission; sink: AnswerSink; events: string[] }[];
let drains: string[];
let server: Server;
let address: string;
let forwards: ForwardServer;
let forwarder: HttpForwarder;

beforeEach(async () => {
  accepted = [];
  drains = [];
  forwards = ForwardServer.create({
    clock,
    target: {
      acceptForward({ submission }, sink) {
        const events: string[] = [];
        accepted.push({ submission, sink, events });
        return {
          cancel: () => events.push("cancel"),
          pause: () => events.push("pause"),
          resume: () => events.push("resume"),
        };
      },
    },
  });
  const operators = {
    drain: (operator: string) => drains.push(operator),
    status: () => ({ phase: "draining" }),
  } as unknown as OperatorPort;
  server = createPeerServer({
    forwards,
    operators,
    keyring,
    clock,
    timeline,
    meter: silentMeter,
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  forwarder = HttpForwarder.create({
    clock,
    keyring,
    timeline,
    meter: silentMeter,
  });
});

afterEach(async () => {
  forwards.close();
  await forwarder.close();
  server.closeAllConnections();
  server.close();
});

function createSubmission(requestId: string): Submission {
  const now = clock.now();
  return {
    path: "/v1/completions",
    body: Buffer.from('{"prompt":"x"}'),
    work: {
      requestId: brandString(requestId),
      adapter: brandString("a@1"),
      customer: brandString("firm"),
      priority: "normal",
      expectedTokens: 5,
      arrivedAt: now,
      deadlineAt: millis(now + 5_000),
      digest: brandString("d"),
      prefix: brandString("p"),
      resumeAt: 2,
      isolated: false,
    },
  };
}

type ReceivedAnswer = {
  text: string;
  count: number;
  ended: boolean;
  refusal?: Refusal;
};

function forward(requestId: string, from = forwarder) {
  const received: ReceivedAnswer = { text: "", count: 0, ended: false };
  const control = from.forward(
    address,
    { engine: brandString("e"), submission: createSubmission(requestId) },
    {
      onChunk(bytes, count) {
        received.text += Buffer.from(bytes).toString();
        received.count += count;
      },
      onEnd() {
        received.ended = true;
      },
      onRefusal(refusal) {
        received.refusal = refusal;
      },
    },
  );
  return { received, control };
}

test("forwarded work keeps its remaining time, and its answer arrives whole", async () => {
  const { received } = forward("r1");
  await waitFor(() => accepted.length === 1);
  const { submission, sink } = accepted[0] as (typeof accepted)[0];
  const remaining = submission.work.deadlineAt - clock.now();
  assert.ok(remaining > 4_000 && remaining <= 5_000);
  assert.equal(submission.work.resumeAt, 2);
  sink.onChunk(Buffer.from("data: {1}\n\ndata: {2}\n\n"), 2);
  sink.onEnd();
  await waitFor(() => received.ended);
  assert.equal(received.text, "data: {1}\n\ndata: {2}\n\n");
  assert.equal(received.count, 2);
});

test("a refusal before and within the stream keeps its code and outcome", async () => {
  const first = forward("r1");
  const second = forward("r2");
  await waitFor(() => accepted.length === 2);
  const refusal = refuse("queueFull", "full", { retryAfter: millis(500) });
  accepted[0]?.sink.onRefusal(refusal);
  accepted[1]?.sink.onChunk(Buffer.from("data: {1}\n\n"), 1);
  accepted[1]?.sink.onRefusal({
    ...refuse("engineLost", "crash"),
    suspect: true,
  });
  await waitFor(() =>
    Boolean(first.received.refusal && second.received.refusal),
  );
  const refusals = [first.received.refusal, second.received.refusal];
  const before = refusals.find((one) => one?.code === "queueFull");
  const within = refusals.find((one) => one?.code === "engineLost");
  assert.deepEqual(before, refusal);
  assert.equal(within?.suspect, true);
  assert.equal(within?.outcome, "may-have-run");
});

// Guards against work counting as not run while its owner runs it: the refusal of
// earlier work arrived once more on the connection.
test("a repeated refusal of earlier work does not count", async () => {
  const body = JSON.stringify(refuse("queueFull", "full"));
  const repeated = `HTTP/1.1 429 Too Many Requests\r\nx-request-id: r1\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
  const owner = createTcpServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", () => socket.write(repeated));
  });
  owner.listen(0, "127.0.0.1");
  await once(owner, "listening");
  address = `127.0.0.1:${(owner.address() as AddressInfo).port}`;
  const first = forward("r1");
  await waitFor(() => first.received.refusal !== undefined);
  const second = forward("r2");
  await waitFor(() => second.received.refusal !== undefined);
  owner.close();
  assert.equal(first.received.refusal?.outcome, "not-run");
  assert.equal(second.received.refusal?.code, "crossedAnswer");
  assert.equal(second.received.refusal?.outcome, "may-have-run");
});

test("a stream that the owner cuts off is reported as broken, not as whole", async () => {
  const { received } = forward("r1");
  await waitFor(() => accepted.length === 1);
  accepted[0]?.sink.onChunk(Buffer.from("data: {1}\n\n"), 1);
  await waitFor(() => received.count === 1);
  server.closeAllConnections();
  await waitFor(() => received.refusal !== undefined);
  assert.equal(received.refusal?.code, "peerLost");
  assert.equal(received.refusal?.outcome, "may-have-run");
  assert.equal(received.ended, false);
});

test("an unreachable owner is reported as not-run", async () => {
  server.closeAllConnections();
  server.close();
  const { received } = forward("r1");
  await waitFor(() => received.refusal !== undefined);
  assert.equal(received.refusal?.outcome, "not-run");
});

test("heartbeat comments keep an idle stream alive and are not counted as events", async () => {
  const { received } = forward("r1");
  await waitFor(() => accepted.length === 1);
  await new Promise((resolve) => setTimeout(resolve, 3_600));
  assert.equal(received.refusal, undefined);
  assert.equal(received.count, 0);
  accepted[0]?.sink.onEnd();
  await waitFor(() => received.ended);
});

test("a sender without the key can neither forward work nor call operator procedures", async () => {
  const other = HttpForwarder.create({
    clock,
    keyring: untrustedKeyring,
    timeline,
    meter: silentMeter,
  });
  const { received } = forward("r1", other);
  await waitFor(() => received.refusal !== undefined);
  assert.equal(received.refusal?.outcome, "not-run");
  const client = createOperatorClient({
    address,
    keyring: untrustedKeyring,
    clock,
  });
  await assert.rejects(client.drain.mutate({ operator: "x" }));
  const unsigned = await fetch(`http://${address}/trpc/status`);
  assert.equal(unsigned.status, 401);
  assert.equal(accepted.length + drains.length, 0);
  await other.close();
});

test("a recorded message that is sent again is rejected", async () => {
  const seen: { path: string; signature: string; body: string }[] = [];
  server.prependListener("request", (request) => {
    seen.push({
      path: request.url ?? "",
      signature: String(request.headers[signatureHeader]),
      body: "",
    });
  });
  const client = createOperatorClient({ address, keyring, clock });
  await client.status.query();
  const recorded = seen[0] as (typeof seen)[0];
  const replayed = await fetch(`http://${address}${recorded.path}`, {
    headers: { [signatureHeader]: recorded.signature },
  });
  assert.equal(replayed.status, 401);
});

test("a key can be replaced while both nodes run", async () => {
  const client = createOperatorClient({ address, keyring, clock });
  await client.drain.mutate({ operator: "first" });
  keyring.replace([{ id: "k2", secret: "another-secret-of-tests" }]);
  await client.drain.mutate({ operator: "second" });
  assert.deepEqual(drains, ["first", "second"]);
  const old = Keyring.create([{ id: "k1", secret }]);
  const late = createOperatorClient({ address, keyring: old, clock });
  await assert.rejects(late.drain.mutate({ operator: "third" }));
  keyring.replace([{ id: "k1", secret }]);
});

async function waitFor(condition: () => boolean): Promise<void> {
  const end = Date.now() + 5_000;
  while (!condition()) {
    assert.ok(Date.now() < end, "condition not met within 5 s");
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
