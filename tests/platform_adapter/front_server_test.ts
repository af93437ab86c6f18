import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import {
  decodeNodeMessage,
  encodeNodeMessage,
} from "../../src/adapters/peers/node_message_codec.ts";
import { millis } from "../../src/core/clock.ts";
import {
  brandString,
  type MachineName,
  type ModelAdapterKey,
  type ServerId,
} from "../../src/core/ids.ts";
import { EngineUsageCounter } from "../../src/node/gateway/engines/engine_usage.ts";
import { RawConnection } from "../support/raw_connection.ts";
import {
  answer,
  exchangeRaw,
  head,
  id,
  openFront as open,
  request,
} from "./front_gateway.ts";

test("a request is decoded once, with its head, model demand and body", async () => {
  const { front, port, requests } = await open(answer);
  const received = await exchangeRaw(
    port,
    `${head}${id}Goldcrestwinch-Model: m0/a3\r\nGoldcrestwinch-Token-Count: 1460,80\r\nGoldcrestwinch-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nGoldcrestwinch-Deadline-Ms: 700\r\nContent-Length: 4\r\n\r\nbody`,
  );
  assert.match(received, /^HTTP\/1\.1 200 OK\r\n/);
  const [request] = requests;
  assert.equal(request?.host, "h.example");
  assert.equal(request?.path, "/b/x");
  assert.equal(request?.target, "/b/x?y=1");
  assert.equal(request?.deadline, 700);
  assert.deepEqual(request?.demand, {
    model: "m0",
    adapter: "a3",
    promptTokens: 1460,
    answerTokens: 80,
    sharedParts: ["5c1e07a2", "91bd3f06"],
  });
  assert.equal(new TextDecoder().decode(request?.body), "body");
  void front.stopAccepting();
});

// Guards against a connection and a part of a body that stay for ever, since the rest cannot arrive.
test("a caller that leaves within a body frees its connection, after the answers before it", async () => {
  for (const [earlier, answers] of [
    ["", 0],
    [`${head}${id}Content-Length: 0\r\n\r\n`, 1],
  ] as const) {
    const { front, port, requests } = await open(answer);
    const socket = connect(port, "127.0.0.1");
    let received = "";
    socket.on("data", (bytes) => {
      received += bytes;
    });
    socket.end(
      `${earlier}${head}Goldcrestwinch-Request-Id: r2\r\nContent-Length: 9\r\n\r\nbody`,
    );
    const timer = setTimeout(() => socket.resetAndDestroy(), 1_000);
    await once(socket, "close");
    clearTimeout(timer);
    assert.equal(requests.length, answers);
    assert.equal(received.split("HTTP/1.1 200 OK").length - 1, answers);
    const late = setTimeout(() => assert.fail("a connection stays open"), 500);
    await front.stopAccepting();
    clearTimeout(late);
  }
});

// A caller must not be able to set a header towards a server that only the system may set.
test("reserved headers and those of the connection (hop-by-hop) are not forwarded", async () => {
  const { front, port, requests } = await open(answer);
  await exchangeRaw(
    port,
    `${head}${id}Goldcrestwinch-Hold: h\r\nGoldcrestwinch-Pin-Ms: 9\r\nKv-From: x\r\nGoldcrestwinch-Kv-Backup: y\r\nGoldcrestwinch-Expect-Instance: z\r\nGoldcrestwinch-Request-Priority: 0\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Own: kept\r\nContent-Length: 0\r\n\r\n`,
  );
  const names = (requests[0]?.headers ?? []).filter((_, at) => at % 2 === 0);
  assert.deepEqual(names, ["Host", "Goldcrestwinch-Request-Id", "X-Own"]);
  void front.stopAccepting();
});

test("invalid requests are not taken and get a refusal with a status or a numbered result code", async () => {
  const { front, port, requests } = await open();
  const withoutId = await exchangeRaw(port, `${head}Content-Length: 0\r\n\r\n`);
  assert.match(withoutId, /^HTTP\/1\.1 400 /);
  assert.match(withoutId, /"code":1007/);
  const large = await exchangeRaw(
    port,
    `${head}${id}Content-Length: 101\r\n\r\n${"x".repeat(101)}`,
  );
  assert.match(large, /^HTTP\/1\.1 413 /);
  const smuggled = await exchangeRaw(
    port,
    `${head}${id}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n`,
  );
  assert.match(smuggled, /^HTTP\/1\.1 400 /);
  const endless = await exchangeRaw(
    port,
    `${head}X: ${"y".repeat(20_000)}\r\n\r\n`,
  );
  assert.match(endless, /^HTTP\/1\.1 431 /);
  assert.equal(requests.length, 0);
  void front.stopAccepting();
});

test("a refusal carries its status code and Retry-After, but no server seal", async () => {
  const { front, port } = await open(({ sink }) => {
    sink.refuse({
      code: "noServer",
      outcome: "not-run",
      detail: "none",
      retryAfter: 400 as never,
    });
  });
  const received = await exchangeRaw(
    port,
    `${head}${id}Content-Length: 0\r\n\r\n`,
  );
  assert.match(received, /^HTTP\/1\.1 503 /);
  assert.match(received, /retry-after: 0\.40/i);
  assert.doesNotMatch(received, /server-seal/i);
  void front.stopAccepting();
});

test("an aborted answer does not look complete", async () => {
  const { front, port } = await open(({ sink }) => {
    sink.start({ status: 200, headers: [] });
    sink.write(new TextEncoder().encode("id: 1\n\n"));
    setTimeout(() => sink.abort(), 20);
  });
  const received = await exchangeRaw(
    port,
    `${head}${id}Content-Length: 0\r\n\r\n`,
  );
  assert.match(received, /id: 1/);
  assert.doesNotMatch(received, /\r\n0\r\n\r\n$/);
  void front.stopAccepting();
});

test("a caller that disconnects cancels its request", async () => {
  const { front, port, countCancelled } = await open();
  await exchangeRaw(port, `${head}${id}Content-Length: 0\r\n\r\n`);
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(countCancelled(), 1);
  void front.stopAccepting();
});

// Guards against work that goes on at servers for requests behind another one on a lost connection.
test("a caller that disconnects cancels the requests that it sent ahead", async () => {
  const { front, port, requests, countCancelled } = await open();
  const caller = await RawConnection.open(port);
  caller.write(request + request + request);
  while (requests.length < 3)
    await new Promise((resolve) => setTimeout(resolve, 5));
  caller.destroy();
  await new Promise((resolve) => setTimeout(resolve, 100));
  assert.equal(countCancelled(), 3);
  void front.stopAccepting();
});

// Guards against an error status for bytes behind a request that runs: its caller would take
// it as the answer, and 408 promises that the request has not run.
for (const rest of ["POST /b/x HTTP/1.1\r\nHo", "no request\r\n\r\n"]) {
  test(`a request in progress is answered before the connection ends for ${JSON.stringify(rest)}`, async () => {
    const { front, port } = await open(({ sink }) => {
      setTimeout(() => {
        sink.start({ status: 200, headers: ["Content-Length", "2"] });
        sink.write(new TextEncoder().encode("ok"));
        sink.end();
      }, 2_500);
    });
    const caller = await RawConnection.open(port);
    caller.write(request + rest);
    await caller.closed;
    assert.match(caller.received, /^HTTP\/1\.1 200 /);
    assert.ok(caller.received.endsWith("ok"));
    void front.stopAccepting();
  });
}

// Guards against running a request whose answer cannot be delivered, since the one before it
// was too large and ends the connection.
test("a request behind one that is too large is not passed on", async () => {
  const { front, port, requests } = await open(answer);
  const caller = await RawConnection.open(port);
  const large = `${head}${id}Content-Length: 101\r\n\r\n${"x".repeat(101)}`;
  caller.write(request + large + request);
  await caller.closed;
  assert.equal(requests.length, 1);
  assert.match(caller.received, /^HTTP\/1\.1 200 /);
  assert.match(caller.received, /HTTP\/1\.1 413 /);
  void front.stopAccepting();
});

// Guards against requests that escape a quota of tokens, since they name a model without tokens, or no number.
test("the tokens of a request count with a model and without, a request without them names none", async () => {
  const { front, port, requests } = await open(answer);
  const model = "Goldcrestwinch-Model: m0\r\n";
  const tokens = "Goldcrestwinch-Token-Count: 1460,80\r\n";
  const odd = "Goldcrestwinch-Token-Count: x,-5\r\n";
  for (const named of [model + tokens, tokens, model, model + odd])
    await exchangeRaw(port, `${head}${id}${named}Content-Length: 0\r\n\r\n`);
  const counted = requests.map((request) => request.tokens);
  assert.deepEqual(counted, [1540, 1540, undefined, undefined]);
  void front.stopAccepting();
});

// Guards against one caller whose odd token count spoils the reports of a node:
// the other nodes refuse a report with such a sum, and take it for unanswered.
test("an odd number of tokens counts as none, so that the sums of a node can be reported", async () => {
  const { front, port, requests } = await open(answer);
  const odd = [
    "1e308,1e308",
    "-5,-5",
    "1.5,1.5",
    "9007199254740993,x",
    "Infinity,NaN",
    ",",
  ];
  for (const counts of odd)
    await exchangeRaw(
      port,
      `${head}${id}Goldcrestwinch-Model: m0/a3\r\nGoldcrestwinch-Token-Count: ${counts}\r\nContent-Length: 0\r\n\r\n`,
    );
  assert.equal(requests.length, odd.length);
  const usage = EngineUsageCounter.create(() => millis(0));
  const engine = brandString<ServerId>("e1");
  const key = brandString<ModelAdapterKey>("m0/a3");
  const releases = [
    { promptTokens: 100 },
    ...requests.map(({ demand }) => demand),
  ].map((demand) =>
    usage.trackSent(engine, key, demand?.promptTokens ?? Number.NaN),
  );
  for (const release of [() => {}, ...releases.reverse()]) {
    release();
    const engines = [{ ...usage.take(engine), contentsVersion: 0 }];
    const message = {
      type: "use",
      from: brandString<MachineName>("n1"),
      engines,
    } as const;
    const [frame] = encodeNodeMessage(message);
    assert.deepEqual(decodeNodeMessage(frame as Buffer), message);
  }
  void front.stopAccepting();
});
