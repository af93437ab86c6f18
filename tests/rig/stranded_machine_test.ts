import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type Arrival, answerAfter, streamEvents } from "./backend.ts";
import { type CallEnd, describePrompt, sendCall } from "./caller.ts";
import { Installation, models } from "./installation.ts";
import { Link } from "./link.ts";
import { OwnView } from "./own_view.ts";

/** Time from the start of a cut until callers must be served again, in ms. */
const allowed = 3_000;
const zones = { "tatry-a": "tatry", "beskidy-a": "beskidy" };

async function createInstallation() {
  const installation = await Installation.open();
  const arrivals: Arrival[] = [];
  const onArrival = (arrival: Arrival) => arrivals.push(arrival);
  for (let at = 0; at < 3; at++) {
    const serve = answerAfter(20);
    await installation.addBackend({ service: "booking", serve, onArrival });
    await installation.addBackend({
      service: "engines",
      serve: streamEvents({ count: 8, gap: 20 }),
      models,
      onArrival,
    });
  }
  const links: Link[] = [];
  const addresses = new Map<string, string>();
  for (const { address } of installation.backends) {
    const link = await Link.open(address);
    links.push(link);
    addresses.set(address, link.address);
    installation.onClose(() => {
      link.heal();
      link.close();
    });
  }
  const view = await OwnView.open(installation.store.address, addresses);
  installation.onClose(() => view.close());
  const stranded = await installation.addMachine({
    zone: "tatry-a",
    zones,
    storeAddress: view.address,
  });
  const other = await installation.addMachine({ zone: "beskidy-a", zones });
  for (const machine of [stranded, other]) await machine.waitUntilReady();
  return { installation, stranded, arrivals, links };
}

/** Sends requests of each kind for a time in ms. */
async function sendFor(port: number, duration: number): Promise<CallEnd[]> {
  const calls: Promise<CallEnd>[] = [];
  const startedAt = performance.now();
  while (performance.now() < startedAt + duration) {
    for (const path of ["/lookup/1", "/book/1"])
      calls.push(sendCall({ port, path, deadline: 3_000 }));
    const prompt = describePrompt("m0");
    calls.push(
      sendCall({ port, path: "/once/1", headers: prompt, deadline: 5_000 }),
    );
    await sleep(60);
  }
  return Promise.all(calls);
}

// Guards against callers of a machine that has lost its links to all servers, who are served far worse
// than those of the others (RECOVER), and against requests that run twice on the second way.
test("callers of a machine that reaches no server are served by way of another one", async (context) => {
  const { installation, stranded, arrivals, links } =
    await createInstallation();
  context.after(() => installation.close());
  const before = await sendFor(stranded.front, 1_000);
  assert.ok(before.every(({ status }) => status === 200));
  for (const link of links) link.cutAndRefuse();
  void sendFor(stranded.front, allowed);
  await sleep(allowed);
  const during = await sendFor(stranded.front, 3_000);
  const served = during.filter(
    ({ status, isWhole }) => status === 200 && isWhole,
  );
  context.diagnostic(`${served.length} of ${during.length} were served`);
  const runs = new Map<string, number>();
  for (const { requestId } of arrivals)
    runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
  const twice = served.filter(({ requestId }) => runs.get(requestId) !== 1);
  assert.ok(served.length >= during.length * 0.9);
  assert.equal(twice.length, 0);
  for (const link of links) link.heal();
  await sleep(2_000);
  const after = await sendFor(stranded.front, 1_000);
  const back = after.filter(({ status }) => status === 200).length;
  assert.ok(back >= after.length * 0.9, `${back} of ${after.length} after it`);
});
