import assert from "node:assert/strict";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpServerNotices } from "../../platform/server_notices.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import type { ServerNotice } from "../../src/ports/gateway.ts";
import { createServer as describeServer } from "../gateway/gateway_values.ts";
import { NotifyingServer } from "./notifying_server.ts";
import { SocketGateway } from "./socket_gateway.ts";

/** Callers that press on the service all the time. */
const callers = 550;
/** Requests that are opened in the turn of the first answer, most of which wait for a connection. */
const burst = 150;
/** Enough servers that the node may have a connection for each request. */
const serverCount = 8;
/** Time that a served request takes, in ms. */
const serviceTime = 200;
/** Time until all callers press, in ms. */
const warmUp = 1_500;

/** Times at which the node writes requests to one server, and receives the first leaving answer. */
class SocketRecord {
  readonly sends: number[] = [];
  leavingHeadAt: number | undefined;
  readonly #origin: string;

  constructor(address: string) {
    this.#origin = `http://${address}`;
    subscribe("undici:client:sendHeaders", this.#onSend);
    subscribe("undici:request:headers", this.#onHead);
  }

  stop(): void {
    unsubscribe("undici:client:sendHeaders", this.#onSend);
    unsubscribe("undici:request:headers", this.#onHead);
  }

  readonly #onSend = (message: unknown) => {
    const { request } = message as { request: { origin: string } };
    if (String(request.origin) === this.#origin)
      this.sends.push(performance.now());
  };

  readonly #onHead = (message: unknown) => {
    const { request, response } = message as {
      request: { origin: string };
      response: { headers: Buffer[] };
    };
    if (String(request.origin) !== this.#origin) return;
    const isLeaving = response.headers.some(
      (text) => text.toString().toLowerCase() === "server-leaving",
    );
    if (isLeaving) this.leavingHeadAt ??= performance.now();
  };
}

/** Statuses of the first answer that says that the server leaves. */
for (const status of [200, 404, 503]) {
  // Requests reached a server until the store listed it as leaving, although its answers had said so.
  test(`no request is sent to a server after the head of an answer with status ${status} that says that it leaves, with over 500 requests in flight and waiting`, async () => {
    const gateway = SocketGateway.create();
    const servers: NotifyingServer[] = [];
    for (let at = 0; at < serverCount; at++) {
      const server = await NotifyingServer.create(serviceTime);
      servers.push(server);
      const id = brandString<ServerId>(`s${at}`);
      gateway.register(describeServer({ id, address: server.address }));
    }
    const [leaving] = servers as [NotifyingServer];
    const record = new SocketRecord(leaving.address);
    let isStopped = false;
    const press = async (caller: number) => {
      await sleep((warmUp / 2) * (caller / callers));
      while (!isStopped) {
        const end = await gateway.call();
        if (end.kind !== "answered") await sleep(20);
      }
    };
    const running = Array.from({ length: callers }, (_, at) => press(at));
    await sleep(warmUp);
    let openRequests = 0;
    const headers = { "Server-Leaving": "1" };
    leaving.answer = () => {
      if (openRequests === 0) {
        for (let i = 0; i < burst; i++)
          running.push(gateway.call().then(() => {}));
        openRequests = gateway.gateway.openRequests;
      }
      return { status, headers };
    };
    await sleep(1_500);
    isStopped = true;
    await Promise.all(running);
    await gateway.stop();
    record.stop();
    for (const server of servers) server.close();
    const { sends, leavingHeadAt = Number.NaN } = record;
    const late = sends.filter((at) => at > leavingHeadAt);
    const latest = (sends.at(-1) as number) - leavingHeadAt;
    assert.ok(openRequests >= 500, `${openRequests} requests`);
    assert.ok(Number.isFinite(leavingHeadAt));
    assert.equal(late.length, 0, `${late.length} sends, the latest ${latest}`);
  });
}

function readNotices(fields: Record<string, string | string[]>) {
  const notices: ServerNotice[] = [];
  let ignored = 0;
  const meter = {
    count: () => {
      ignored++;
    },
    observe() {},
    gauge() {},
  };
  const reader = HttpServerNotices.create({ meter });
  reader.follow((_server, notice) => notices.push(notice));
  reader.readHead(describeServer({}), { status: 200, fields });
  return { notices, ignored };
}

for (const value of ["0", "true", "", "2", "1, 1"]) {
  test(`the value "${value}" of the header does not say that a server leaves, and is counted`, () => {
    const { notices, ignored } = readNotices({ "server-leaving": value });
    assert.deepEqual(notices, []);
    assert.equal(ignored, 1);
  });
}

// An address is used again by another server; its answer must not take out the one before.
test("an answer of another server at the address says nothing about the server that was meant", () => {
  const fields = {
    "server-leaving": "1",
    "goldcrestwinch-instance-id": "other",
  };
  assert.deepEqual(readNotices(fields).notices, []);
});
