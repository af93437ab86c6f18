import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { headers } from "../../platform/wire_names.ts";
import { type Backend, type Serve, sealHead } from "./backend.ts";
import { type CallEnd, sendCall } from "./caller.ts";
import { Installation } from "./installation.ts";

const backendCount = 3;
/** Requests that a server turns away in a second without falling over. */
const tolerance = 5;
/** Requests that a server has room for, and how long it works on one, in ms. */
const room = 4;
const workTime = 100;
/** Time for which servers are down after they fell over, in ms. */
const downTime = 1_500;
/** Time from the first answer that names the tolerance until falls count, in ms. */
const contactTime = 4_000;
const duration = 11_000;
/** Interval between two requests at one machine, in ms: together about twice what the servers can do. */
const interval = 13;

/** A server that falls over if it has to turn too many requests away in a second. */
class BrittleServer {
  readonly falls: number[] = [];
  rejections = 0;
  #running = 0;
  #recent: number[] = [];
  #isOver = false;

  readonly serve: Serve = ({ backend, requestId, response }) => {
    const notice = { "server-brittle": String(tolerance) };
    if (this.#running >= room) {
      this.#reject(backend);
      const head = { [headers.requestId]: requestId, ...notice };
      response.writeHead(503, { ...head, [headers.notExecuted]: "1" }).end();
      return;
    }
    this.#running++;
    setTimeout(() => {
      this.#running--;
      response.writeHead(200, { ...sealHead(requestId), ...notice }).end("ok");
    }, workTime);
  };

  stop(): void {
    this.#isOver = true;
  }

  #reject(backend: Backend): void {
    const now = performance.now();
    this.rejections++;
    this.#recent = this.#recent.filter((at) => at > now - 1_000);
    this.#recent.push(now);
    if (this.#recent.length <= tolerance || !backend.isRunning) return;
    this.falls.push(now);
    this.#recent = [];
    backend.crash();
    setTimeout(() => {
      if (!this.#isOver) void backend.start();
    }, downTime);
  }
}

// Guards against servers that fall over since all machines go on sending to those which have no
// room, though they say that they are brittle (LIMIT).
test("servers that say how few rejections they bear do not fall over under twice their load", async (context) => {
  const installation = await Installation.open();
  const servers = Array.from(
    { length: backendCount },
    () => new BrittleServer(),
  );
  context.after(() => {
    for (const server of servers) server.stop();
    return installation.close();
  });
  for (const { serve } of servers)
    await installation.addBackend({ service: "booking", serve });
  const machines = await installation.addMachines(3);
  const calls: Promise<CallEnd>[] = [];
  const startedAt = performance.now();
  while (performance.now() < startedAt + duration) {
    for (const { front } of machines)
      calls.push(
        sendCall({
          port: front,
          path: `/lookup/${calls.length}`,
          deadline: 3_000,
        }),
      );
    await sleep(interval);
  }
  const ends = await Promise.all(calls);
  const counted = servers
    .flatMap(({ falls }) => falls)
    .filter((at) => at > startedAt + contactTime).length;
  const rejections = servers.reduce(
    (sum, server) => sum + server.rejections,
    0,
  );
  const served = ends.filter(({ status }) => status === 200).length;
  context.diagnostic(
    `${counted} falls, ${rejections} rejections, ${served} of ${ends.length} served`,
  );
  assert.ok(counted <= 2 + backendCount / 10, `${counted} falls`);
  // The servers can do 120 a second.
  assert.ok(served > (duration / 1_000) * 120 * 0.5, `${served} served`);
});
