import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import type { BackendServer } from "../../src/core/gateway/servers.ts";
import { brandString, type Digest } from "../../src/core/ids.ts";
import { PoisonAdmission } from "../../src/node/gateway/requests/poison_admission.ts";
import { createEngine } from "./gateway_values.ts";

/** Time until the check of a broken server has ended, in ms. */
const checkTime = millis(20);

/** Admission of a request on trial, at a guard that notes what it is told. */
async function admitTrial() {
  const clock = VirtualClock.create();
  const sound: Digest[] = [];
  const broken: string[] = [];
  let isHeld = true;
  const trial = {
    isHeld: () => isHeld,
    end: () => {
      isHeld = false;
    },
  };
  const admission = PoisonAdmission.create(
    {
      assess: () => "suspect",
      admit: async () => ({ kind: "admitted", trial }),
      maySend: () => isHeld,
      recordSound: (units) => sound.push(...units),
      recordBreak: (server: BackendServer) =>
        new Promise((resolve) => {
          clock.schedule(checkTime, () => {
            broken.push(server.id);
            resolve();
          });
        }),
    },
    { parts: [brandString("deadly")], request: brandString("r") },
  );
  await admission.wait(millis(10_000), () => false);
  return { admission, clock, sound, broken, isHeld: () => isHeld };
}

// Guards against a part that is shown to be sound by the very run that crashed an engine:
// its request may live on while its node finds out where the stream may go on.
test("a trial that has crashed its engine does not clear the part a second after its start", async () => {
  const { admission, clock, sound, broken } = await admitTrial();
  admission.recordRun(millis(40));
  const end = { kind: "broken" } as const;
  const result = { end, detail: "", head: undefined, body: [] };
  const runTime = millis(40);
  admission.recordFailure({ ...result, runTime }, createEngine("e1", ["a1"]));
  await clock.advance(millis(2_000));
  assert.deepEqual(broken, ["e1"]);
  assert.deepEqual(sound, []);
});

test("a trial whose answer has run for a second clears the part", async () => {
  const { admission, sound, isHeld } = await admitTrial();
  admission.recordRun(millis(960));
  assert.deepEqual(sound, []);
  admission.recordRun(millis(1_000));
  await Promise.resolve();
  assert.deepEqual(sound, ["deadly", "r"]);
  assert.equal(isHeld(), false);
});
