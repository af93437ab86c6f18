import assert from "node:assert/strict";
import { Agent } from "node:http";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type Arrival, answerAfter } from "./backend.ts";
import { sendCall } from "./caller.ts";
import { Installation } from "./installation.ts";

/** How long the process stands still, and how long its callers wait meanwhile, in ms. */
const standstill = 1_200;
const patience = 400;
const callers = 40;

for (const connection of ["new", "kept"] as const) {
  // Guards against requests that a process which had too little processor time reads late, and sends on
  // though their callers have left: the close waits behind the request.
  test(`no request reaches a server whose caller left on a ${connection} connection while the process stood still`, async (context) => {
    const installation = await Installation.open();
    context.after(() => installation.close());
    const arrivals: Arrival[] = [];
    const onArrival = (arrival: Arrival) => arrivals.push(arrival);
    for (let at = 0; at < 2; at++)
      await installation.addBackend({
        service: "booking",
        serve: answerAfter(30),
        onArrival,
      });
    const [machine] = await installation.addMachines(1);
    const agent = new Agent({ keepAlive: true, maxSockets: callers });
    context.after(() => agent.destroy());
    const call = (path: string, deadline: number) =>
      sendCall({
        port: machine?.front as number,
        path,
        deadline,
        ...(connection === "kept" ? { agent } : {}),
      });
    const callAll = (path: string, deadline: number) =>
      Promise.all(Array.from({ length: callers }, () => call(path, deadline)));
    const served = await callAll("/lookup/before", 3_000);
    assert.ok(served.every(({ status }) => status === 200));
    machine?.signal("SIGSTOP");
    const left = callAll("/lookup/left", patience);
    await sleep(standstill);
    machine?.signal("SIGCONT");
    const ends = await left;
    await sleep(300);
    const after = await callAll("/lookup/after", 3_000);
    const gone = new Set(ends.map(({ requestId }) => requestId));
    const sent = arrivals.filter(({ requestId }) => gone.has(requestId));
    context.diagnostic(`${sent.length} of ${callers} were sent`);
    assert.equal(sent.length, 0);
    assert.ok(after.every(({ status }) => status === 200));
  });
}
