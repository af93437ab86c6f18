import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { answerAfter, type Serve } from "./backend.ts";
import { sendCall } from "./caller.ts";
import { Installation } from "./installation.ts";

/** How long a server that has crashed is down, in ms. */
const downTime = 1_500;
const deadlyPath = "/lookup/deadly";

// Guards against a lookup that crashes each server that runs it before the first byte of an answer,
// and comes again unchanged at any machine: servers went down as long as callers sent it.
test("a lookup that has crashed servers reaches none later, at any machine, and others are served", async (context) => {
  const installation = await Installation.open();
  let isOver = false;
  context.after(() => {
    isOver = true;
    return installation.close();
  });
  const crashes: number[] = [];
  const answer = answerAfter(20);
  const serve: Serve = (exchange) => {
    const { backend, message } = exchange;
    if (message.url !== deadlyPath) return answer(exchange);
    setTimeout(() => {
      if (!backend.isRunning) return;
      crashes.push(performance.now());
      backend.crash();
      setTimeout(() => {
        if (!isOver) void backend.start();
      }, downTime);
    }, 50);
  };
  for (let at = 0; at < 4; at++)
    await installation.addBackend({ service: "booking", serve });
  const machines = await installation.addMachines(3);
  const send = (at: number, path: string) =>
    sendCall({
      port: machines[at % 3]?.front as number,
      path,
      deadline: 2_000,
    });
  const startedAt = performance.now();
  for (let turn = 0; performance.now() < startedAt + 6_000; turn++) {
    void send(turn, deadlyPath);
    await sleep(150);
  }
  const last = crashes.at(-1) ?? 0;
  const ends = await Promise.all(
    Array.from({ length: 30 }, (_, at) => send(at, `/lookup/${at}`)),
  );
  context.diagnostic(
    `${crashes.length} crashes, the last one after ${Math.round(last - startedAt)} ms`,
  );
  assert.ok(crashes.length >= 2, "the request must crash servers");
  assert.ok(crashes.length <= 6, `${crashes.length} crashes`);
  assert.ok(last < startedAt + 3_000, "no crash after 3 s");
  const served = ends.filter(({ status }) => status === 200).length;
  assert.ok(served >= 27, `${served} of 30 others were served`);
});
