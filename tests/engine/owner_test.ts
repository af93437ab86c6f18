import assert from "node:assert/strict";
import { test } from "node:test";
import { OwnerHarness } from "./harness.ts";

test("concurrent requests for one adapter share one load", () => {
  const owner = OwnerHarness.create();
  owner.own();
  owner.submit("r1", { adapter: "a@1" });
  owner.submit("r2", { adapter: "a@1" });
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("load"), ["a@1"]);
  owner.loaded("a@1");
  assert.deepEqual(owner.sent("dispatch"), ["r1", "r2"]);
});

test("an adapter with a running or queued request is never evicted", () => {
  const owner = OwnerHarness.create({ slots: 1 });
  owner.own();
  owner.load("a@1");
  owner.submit("r1", { adapter: "a@1" });
  owner.submit("r2", { adapter: "b@1" });
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("unload"), []);
  owner.finish("r1");
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("unload"), ["a@1"]);
  owner.unloaded("a@1");
  assert.deepEqual(owner.sent("load"), ["a@1", "b@1"]);
});
