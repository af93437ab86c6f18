import assert from "node:assert/strict";
import { type TestContext, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { holdTcpPort, holdUdpPort } from "../support/held_port.ts";
import { Installation } from "./installation.ts";
import type { Machine } from "./machine.ts";

/** Time for which an address stays held, in ms. */
const holdTime = 1_500;
/** Time within which every address must be open, in s; shorter than usual. */
const listenTimeout = 5;
/** Time within which a process that cannot listen has ended, in ms, with its start and its drain. */
const endAllowed = 20_000;

type HeldAddress = {
  readonly name: string;
  readonly hold: (machine: Machine) => Promise<() => Promise<void>>;
};

const heldAddresses: readonly HeldAddress[] = [
  { name: "caller", hold: (machine) => holdTcpPort(machine.front) },
  { name: "status", hold: (machine) => holdTcpPort(machine.ready) },
  { name: "node call", hold: (machine) => holdTcpPort(machine.peers) },
  { name: "node message", hold: (machine) => holdUdpPort(machine.peers) },
];

for (const { name, hold } of heldAddresses) {
  // Guards against a process that ends, or runs without a listener, because its predecessor ends late.
  test(`a process whose ${name} address is held for a moment logs it and then serves`, async (context) => {
    const { machine, free } = await startHeld(context, hold);
    const line = await machine.waitFor("listenRetried");
    assert.match(String(line.address), /^127\.0\.0\.1:\d+$/);
    assert.match(String(line.remedy), /holds the address/);
    assert.equal(await machine.isReady(), false);
    await sleep(holdTime);
    assert.equal(await machine.isReady(), false);
    await free();
    await machine.waitUntilReady();
    assert.deepEqual(machine.ends, []);
  });

  // Guards against a process that stays up for good without one of its listeners.
  test(`a process whose ${name} address stays held logs it and ends with a status`, async (context) => {
    const { machine, free } = await startHeld(context, hold);
    const end = await machine.waitForEnd(endAllowed);
    await free();
    assert.equal(end.status, 1);
    assert.equal(end.errors, "");
    const [line] = machine.logged("listenFailed");
    assert.match(String(line?.address), /^127\.0\.0\.1:\d+$/);
    assert.ok(machine.logged("listenRetried").length > 1);
  });
}

async function startHeld(context: TestContext, hold: HeldAddress["hold"]) {
  const installation = await Installation.open();
  context.after(() => installation.close());
  let free = async () => {};
  const machine = await installation.addMachine({
    restartDelay: undefined,
    settings: { ListenTimeoutS: listenTimeout },
    prepare: async (held) => {
      free = await hold(held);
    },
  });
  return { machine, free };
}
