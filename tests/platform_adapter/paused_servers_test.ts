import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { millis } from "../../src/core/clock.ts";
import type { GatewayRoute } from "../../src/core/gateway/configuration.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import { createServer as describeServer } from "../gateway/gateway_values.ts";
import { NotifyingServer, RequestedPause } from "./notifying_server.ts";
import { type CallEnd, SocketGateway } from "./socket_gateway.ts";

const callers = 100;
/** Time between two requests of a caller, in ms. */
const thinkTime = 200;
/** Time before the pause, in which the usual rate is reached, in ms. */
const warmUp = 2_000;
const pauseLength = 2_000;
/** Requests that were on their way may arrive for this long after the refusal, in ms. */
const onTheWay = 500;
/** Maximum number of requests in the rest of the pause. */
const maxInPause = 2;

type Load = {
  readonly gateway: SocketGateway;
  readonly servers: readonly NotifyingServer[];
  readonly ends: CallEnd[];
  stop(): Promise<void>;
};

/** Starts callers that press on a service without end; patient ones honour Retry-After. */
async function startLoad(options: {
  readonly servers: number;
  readonly isPatient: boolean;
  readonly route?: Partial<GatewayRoute>;
}): Promise<Load> {
  const gateway = SocketGateway.create(options.route);
  const servers: NotifyingServer[] = [];
  for (let at = 0; at < options.servers; at++) {
    const server = await NotifyingServer.create();
    servers.push(server);
    const { address } = server;
    const id = brandString<ServerId>(`s${at}`);
    gateway.register(describeServer({ id, address }));
  }
  const ends: CallEnd[] = [];
  let isStopped = false;
  const press = async (caller: number) => {
    await sleep((thinkTime * caller) / callers);
    while (!isStopped) {
      const end = await gateway.call();
      ends.push(end);
      const delay = end.kind === "refused" ? end.refusal.retryAfter : undefined;
      const patience = options.isPatient ? (delay ?? 0) : 0;
      await sleep(Math.max(patience, thinkTime));
    }
  };
  const running = Array.from({ length: callers }, (_, at) => press(at));
  const stop = async () => {
    isStopped = true;
    await Promise.all(running);
    await gateway.stop();
    for (const server of servers) server.close();
  };
  return { gateway, servers, ends, stop };
}

/** Lets the first server ask for a pause; resolves some time after its end. */
async function pauseFirstServer(servers: readonly NotifyingServer[]) {
  await sleep(warmUp);
  const [server] = servers as [NotifyingServer];
  const pause = new RequestedPause(pauseLength);
  const rate = server.countArrivals(performance.now() - 1_000, Infinity);
  server.answer = pause.answer;
  await sleep(pauseLength + 2_300);
  return { pause, server, rate };
}

// The node sent a server its requests again and again although it had asked for a pause.
test("a server that asked for a pause gets no request in it, with 100 callers that ignore Retry-After", async () => {
  const load = await startLoad({ servers: 1, isPatient: false });
  const { pause, server } = await pauseFirstServer(load.servers);
  await load.stop();
  const start = (pause.startedAt as number) + onTheWay;
  const inPause = server.countArrivals(start, pause.end);
  assert.ok(inPause <= maxInPause, `${inPause} requests in the pause`);
  const refused = load.ends.filter((end) => end.kind === "refused");
  assert.ok(refused.length > 0);
});

const routes: Record<string, Partial<GatewayRoute>> = {
  "return after a refusal": { targetLatency: millis(200) },
  "wait at the node": { targetLatency: millis(3_000), timeout: millis(9_000) },
};

// All refused and waiting requests reached the server in the first moment after its pause.
for (const [name, route] of Object.entries(routes)) {
  test(`a pause ends without a burst, and the service is back within a second: callers that ${name}`, async () => {
    const load = await startLoad({ servers: 1, isPatient: true, route });
    const { pause, server, rate } = await pauseFirstServer(load.servers);
    await load.stop();
    const { end } = pause;
    const first = server.countArrivals(end, end + 500);
    assert.ok(first <= rate, `${first} in 500 ms, usually ${rate} a second`);
    const recovered = server.countArrivals(end + 1_000, end + 2_000);
    assert.ok(recovered >= 0.8 * rate, `${recovered}, usually ${rate}`);
    const start = (pause.startedAt as number) + onTheWay;
    assert.ok(server.countArrivals(start, end) <= maxInPause);
  });
}

// A refusal of one server must not reach the caller while others can serve.
test("the other servers take over during a pause, and the one that returns gets no burst", async () => {
  const load = await startLoad({ servers: 3, isPatient: true });
  const { pause, server, rate } = await pauseFirstServer(load.servers);
  await load.stop();
  for (const end of load.ends) assert.equal(end.kind, "answered");
  const start = (pause.startedAt as number) + onTheWay;
  assert.ok(server.countArrivals(start, pause.end) <= maxInPause);
  const first = server.countArrivals(pause.end, pause.end + 500);
  assert.ok(first <= rate, `${first} in 500 ms, usually ${rate} a second`);
});
