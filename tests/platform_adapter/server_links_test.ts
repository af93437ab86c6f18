import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { test } from "node:test";
import { HttpEngineOrders } from "../../platform/engine_orders.ts";
import { HttpServerLinks } from "../../platform/server_links.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis } from "../../src/core/clock.ts";
import {
  brandNumber,
  brandString,
  type FencingNumber,
  type MachineName,
  type ModelName,
  type OrganisationName,
} from "../../src/core/ids.ts";
import type {
  ProxiedRequest,
  ResponseEnd,
  ServerRequest,
} from "../../src/ports/gateway.ts";
import { silentMeter } from "../../src/ports/journal.ts";
import { createServer as describeServer } from "../gateway/gateway_values.ts";
import { standStill } from "../support/stand_still.ts";

type Result = {
  kind: string;
  status?: number;
  text: string;
  seen: string;
  by?: ResponseEnd;
};

const sealed =
  "HTTP/1.1 200 OK\r\ngoldcrestwinch-request-id: r1\r\ngoldcrestwinch-server-seal: x.1\r\n";

function createRequest(fields: Partial<ProxiedRequest> = {}): ProxiedRequest {
  return {
    requestId: brandString("r1"),
    method: "POST",
    host: "h.example",
    target: "/b/x?y=1",
    path: "/b/x",
    headers: ["Host", "h.example", "Goldcrestwinch-Request-Id", "r1"],
    body: new TextEncoder().encode("order"),
    demand: undefined,
    deadline: millis(1_000),
    resumeAfter: undefined,
    arrivedAt: millis(0),
    ...fields,
  };
}

/** Sends one request to a server that answers with raw bytes. */
async function send(
  answer: (socket: Socket) => void,
  fields: Partial<ServerRequest> = {},
  /** Called in the turn of the send. */
  onSent: () => void = () => {},
): Promise<Result> {
  let seen = "";
  const server: Server = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      if (seen === "") answer(socket);
      seen += chunk;
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  const links = HttpServerLinks.create({
    clock: RealClock.create(),
    meter: silentMeter,
  });
  const target = describeServer({ address: `127.0.0.1:${port}` });
  const result = await new Promise<Result>((resolve) => {
    let status: number | undefined;
    let text = "";
    links.send(
      {
        request: createRequest(),
        server: target,
        isRepeated: false,
        isAccepted: () => true,
        timeLeft: millis(900),
        adapterVersion: undefined,
        priority: undefined,
        resumeAfter: undefined,
        ...fields,
      },
      {
        onHead: (head) => {
          status = head.status;
        },
        onBytes: (bytes) => {
          text += new TextDecoder().decode(bytes);
        },
        onEnd: (by) => resolve({ kind: "whole", status, text, seen, by }),
        onFailure: ({ kind }) => resolve({ kind, status, text, seen }),
      },
    );
    onSent();
  });
  await links.endpointOf(target).close();
  server.close();
  return result;
}

function write(text: string) {
  return (socket: Socket) => socket.end(text);
}

test("a sealed answer is forwarded, and the server receives the request and its limits unchanged", async () => {
  const { kind, text, seen } = await send(
    write(`${sealed}content-length: 6\r\n\r\nbooked`),
    { adapterVersion: 3, priority: 2, resumeAfter: "7" },
  );
  assert.equal(kind, "whole");
  assert.equal(text, "booked");
  assert.match(seen, /^POST \/b\/x\?y=1 HTTP\/1\.1\r\n/);
  assert.match(seen, /goldcrestwinch-deadline-ms: 900\r\n/i);
  assert.match(seen, /goldcrestwinch-expect-instance: s1\r\n/i);
  assert.match(seen, /goldcrestwinch-expect-version: 3\r\n/i);
  assert.match(seen, /last-event-id: 7\r\n/i);
  assert.ok(seen.endsWith("\r\n\r\norder"));
});

test("a server is told the organisation of the caller, if there is one", async () => {
  const whole = write(`${sealed}content-length: 0\r\n\r\n`);
  const organisation = brandString<OrganisationName>("north");
  const told = await send(whole, { organisation });
  assert.match(told.seen, /\r\ngoldcrestwinch-tenant: north\r\n/i);
  const untold = await send(whole);
  assert.doesNotMatch(untold.seen, /goldcrestwinch-tenant/i);
});

const ends: Record<string, readonly [string, ResponseEnd]> = {
  "a length": ["content-length: 1\r\n\r\nx", "length"],
  chunks: ["transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", "length"],
  "neither a length nor chunks": ["connection: close\r\n\r\nx", "connection"],
};

// Nothing but the end of its connection tells that the last of these is complete.
for (const [name, [text, expected]] of Object.entries(ends)) {
  test(`the end of an answer with ${name} is that of its ${expected}`, async () => {
    const { kind, by } = await send(write(`${sealed}${text}`));
    assert.equal(kind, "whole");
    assert.equal(by, expected);
  });
}

// The server can leave while the request waits for a connection.
test("a request to a server that has left is not written to the connection", async () => {
  const { kind, seen } = await send(write(sealed), { isAccepted: () => false });
  assert.equal(kind, "left");
  assert.equal(seen, "");
});

const broken: Record<string, string> = {
  "a response without a seal":
    "HTTP/1.1 200 OK\r\ngoldcrestwinch-request-id: r1\r\ncontent-length: 1\r\n\r\nx",
  "a response with a content encoding": `${sealed}content-encoding: gzip\r\ncontent-length: 1\r\n\r\nx`,
  "a response shorter than its Content-Length": `${sealed}content-length: 9\r\n\r\nx`,
  "a response that is not HTTP": "hello\r\n\r\n",
  "a 503 without the not-executed header":
    "HTTP/1.1 503 Busy\r\ngoldcrestwinch-request-id: r1\r\ncontent-length: 0\r\n\r\n",
  "a response cut off within a chunk": `${sealed}transfer-encoding: chunked\r\n\r\n5\r\nab`,
  ...describeMalformedHeads(),
};

/** Heads that are no answer in HTTP: odd statuses, and blanks and control bytes in names of fields. */
function describeMalformedHeads(): Record<string, string> {
  const statuses = ["000", "099", "600", "999", "20", "2000"].map((status) => [
    `a response with status ${status}`,
    `${sealed.replace("200", status)}content-length: 1\r\n\r\nx`,
  ]);
  const names = ["x y", "x\ty", "x\u0001y", "x\u007f", "x ", "content-length "];
  const fields = names.map((name) => [
    `a response with a field named ${JSON.stringify(name)}`,
    `${sealed}${name}: 1\r\nconnection: close\r\n\r\nx`,
  ]);
  return Object.fromEntries([...statuses, ...fields]);
}

for (const [name, text] of Object.entries(broken)) {
  test(`${name} is broken: the request may have run`, async () => {
    assert.equal((await send(write(text))).kind, "broken");
  });
}

test("an answer to another request is crossed", async () => {
  const text = `${sealed.replace("r1", "r0")}content-length: 1\r\n\r\nx`;
  assert.equal((await send(write(text))).kind, "crossed");
});

test("a refusal with the not-executed header is not-run", async () => {
  const text =
    "HTTP/1.1 503 Busy\r\ngoldcrestwinch-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
  assert.equal((await send(write(text))).kind, "not-run");
});

test("a 421 of the server itself is misdirected (wrong model or version), one of another server at its address is not-run", async () => {
  const own = "HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n";
  assert.equal((await send(write(own))).kind, "misdirected");
  const other =
    "HTTP/1.1 421 No\r\ngoldcrestwinch-instance-id: s9\r\ncontent-length: 0\r\n\r\n";
  assert.equal((await send(write(other))).kind, "not-run");
});

test("a server that refuses the connection is unreachable", async () => {
  const unused = describeServer({ address: "127.0.0.1:1" });
  const { kind } = await send(() => {}, { server: unused });
  assert.equal(kind, "unreachable");
});

// Guards against a call that throws out of its task, which ends the process.
test("calls to a server whose address is malformed fail as unreachable", async () => {
  const clock = RealClock.create();
  const links = HttpServerLinks.create({ clock, meter: silentMeter });
  const orders = HttpEngineOrders.create({
    clock,
    endpointOf: (server) => links.endpointOf(server),
    readHead: () => {},
  });
  for (const address of ["127.0.0.1:99999", "999.0.0.1:80", ""]) {
    const server = describeServer({ address });
    const failure = await new Promise<string>((resolve) => {
      links.send(
        {
          request: createRequest(),
          server,
          isAccepted: () => true,
          isRepeated: false,
          timeLeft: millis(900),
          adapterVersion: undefined,
          priority: undefined,
          resumeAfter: undefined,
        },
        {
          onHead: () => resolve("head"),
          onBytes: () => {},
          onEnd: () => resolve("whole"),
          onFailure: ({ kind }) => resolve(kind),
        },
      );
    });
    assert.equal(failure, "unreachable", address);
    const order = {
      operation: "load",
      model: brandString<ModelName>("m0"),
      adapter: undefined,
      version: undefined,
      expectedCount: 0,
    } as const;
    const holder = {
      machine: brandString<MachineName>("n1"),
      fence: brandNumber<FencingNumber>(1),
    };
    const answer = await orders.order(server, order, holder);
    assert.equal(answer.kind, "unreachable", address);
    assert.ok((await orders.fetchStatus(server)).isLeft(), address);
    links.disconnect(server.id);
  }
});

// Guards against servers that are told the time that was left when a process with too little
// processor time began to connect, and work on for callers that have given up.
for (const isRepeated of [false, true]) {
  test(`a request on a ${isRepeated ? "new" : "pooled"} connection that took long names the time that is left when it is written`, async () => {
    const { kind, seen } = await send(
      (socket) => socket.end(`${sealed}content-length: 2\r\n\r\nok`),
      { timeLeft: millis(900), isRepeated },
      () => standStill(300),
    );
    const left = Number(/goldcrestwinch-deadline-ms: (\d+)/.exec(seen)?.[1]);
    assert.equal(kind, "whole");
    assert.ok(left > 0 && left <= 650, `${left} ms`);
  });
}
