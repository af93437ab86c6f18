import assert from "node:assert/strict";
import { Agent } from "node:http";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { headers } from "../../platform/wire_names.ts";
import { answerAfter } from "./backend.ts";
import { type CallEnd, sendCall } from "./caller.ts";
import { configuration, Installation } from "./installation.ts";
import { Link } from "./link.ts";
import type { Machine } from "./machine.ts";

/** Time in which a configuration must be in force on every machine, in ms. */
const applyTime = 4_000;
const checkInterval = 50;

function createConfiguration(northKey: string, southKey: string) {
  return {
    ...configuration,
    Tenants: [
      { Name: "north", ApiKeys: [northKey] },
      { Name: "south", ApiKeys: [southKey] },
    ],
  };
}

/** Two machines, the second of which reaches the store by a link; servers record what they are told. */
async function createInstallation() {
  const first = createConfiguration("secret-north-1", "secret-south-1");
  const installation = await Installation.open(first);
  const told = new Map<string, string | undefined>();
  const passedKeys: string[] = [];
  const serve = answerAfter(10);
  await installation.addBackend({
    service: "booking",
    serve: (exchange) => {
      const { message, requestId } = exchange;
      told.set(requestId, message.headers[headers.organisation]?.toString());
      if (/secret/.test(message.rawHeaders.join())) passedKeys.push(requestId);
      serve(exchange);
    },
  });
  const link = await Link.open(installation.store.address);
  installation.onClose(() => {
    link.heal();
    link.close();
  });
  const [near] = await installation.addMachines(1);
  const [cut] = await installation.addMachines(1, {
    storeAddress: link.address,
  });
  return {
    ...{ installation, told, passedKeys, link },
    ...{ near: near as Machine, cut: cut as Machine },
  };
}

/** Sends requests on kept connections, each with a key. */
function createCaller(machine: Machine) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const call = (key: string): Promise<CallEnd> =>
    sendCall({
      ...{ port: machine.front, path: "/lookup/1", agent, deadline: 2_000 },
      headers: { "api-key": key, [headers.organisation]: "south" },
    });
  /** Time until requests with a key get a status, in ms. */
  const waitFor = async (key: string, status: number): Promise<number> => {
    const startedAt = performance.now();
    while ((await call(key)).status !== status) {
      const waited = performance.now() - startedAt;
      assert.ok(waited < applyTime, `${machine.name}: ${key} not ${status}`);
      await sleep(checkInterval);
    }
    return Math.round(performance.now() - startedAt);
  };
  return { call, waitFor, close: () => agent.destroy() };
}

// Guards against keys that stay valid, or never become it, on connections that are
// kept and on machines that get their configuration from other machines.
test("keys of a new configuration count on every machine, also without the store", async (context) => {
  const { installation, told, passedKeys, link, near, cut } =
    await createInstallation();
  context.after(() => installation.close());
  const callers = [near, cut].map(createCaller);
  for (const { call } of callers) {
    assert.equal((await call("secret-other")).status, 401);
    const served = await call("secret-north-1");
    assert.equal(served.status, 200, served.text);
    assert.equal(told.get(served.requestId), "north");
  }
  link.cutAndRefuse();
  await sleep(500);
  installation.publish(createConfiguration("secret-north-2", "secret-south-1"));
  for (const { waitFor, call } of callers) {
    const removed = await waitFor("secret-north-1", 401);
    const added = await waitFor("secret-north-2", 200);
    context.diagnostic(`removed in ${removed} ms, added in ${added} ms`);
    const { requestId } = await call("secret-south-1");
    assert.equal(told.get(requestId), "south");
  }
  for (const { close } of callers) close();
  assert.deepEqual(passedKeys, []);
  for (const machine of [near, cut]) {
    assert.ok(machine.logged("callerRejected").length > 0);
    const written = JSON.stringify(machine.log) + (await machine.readMetrics());
    assert.doesNotMatch(written, /secret/);
  }
});
