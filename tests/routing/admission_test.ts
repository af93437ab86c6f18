import assert from "node:assert/strict";
import { test } from "node:test";
import {
  admitRequest,
  createAdmissionState,
  defaultAdmissionPolicies,
} from "../../src/core/admission/admit.ts";
import { millis } from "../../src/core/clock.ts";
import { brandString, type Customer } from "../../src/core/ids.ts";
import { createRequest, engineOf } from "./routing_fixture.ts";

/** Admission decisions of one node with explicit times. */
class Admission {
  #state = createAdmissionState();

  admit(options: {
    at: number;
    wait: number;
    customer?: string;
    deadline?: number;
    needsLoad?: boolean;
  }) {
    const { at, wait, customer = "firm", needsLoad, deadline = 5000 } = options;
    const { state, verdict } = admitRequest(this.#state, {
      request: createRequest(`adapter-of-${customer}`, {
        customer: brandString<Customer>(customer),
        deadlineAt: millis(at + deadline),
      }),
      choice: { engine: engineOf("e"), expectedWait: millis(wait), needsLoad },
      now: millis(at),
      policies: defaultAdmissionPolicies,
    });
    this.#state = state;
    return verdict.extract();
  }
}

test("a request whose first token would come too late is refused at once as not run, with a retry time", () => {
  const refusal = new Admission().admit({ at: 0, wait: 9000 });
  assert.ok("code" in refusal);
  assert.equal(refusal.code, "deadlineTooClose");
  assert.equal(refusal.outcome, "not-run");
  assert.ok((refusal.retryAfter ?? 0) >= 4000);
});

test("without overload no share is limited", () => {
  const admission = new Admission();
  for (let at = 0; at < 10_000; at += 10)
    assert.ok("engine" in admission.admit({ at, wait: 50 }));
});

test("under overload a customer gets its fair share of the capacity beside one with four times its requests", () => {
  const admission = new Admission();
  const admitted = { large: 0, small: 0 };
  const capacity = 5; // answers a second
  let backlog = 0;
  for (let at = 0; at < 60_000; at += 50) {
    backlog = Math.max(0, backlog - (capacity * 50) / 1000);
    const customer = (at / 50) % 5 === 0 ? "small" : "large";
    const wait = (1000 * backlog) / capacity;
    const verdict = admission.admit({ at, wait, customer });
    if (!("engine" in verdict)) continue;
    backlog++;
    if (at > 10_000) admitted[customer]++;
  }
  const total = admitted.large + admitted.small;
  assert.ok(total >= 0.9 * capacity * 50, `${total} admitted`);
  assert.ok(admitted.small >= 0.35 * total, `${admitted.small} of ${total}`);
});

test("waits for loads are not taken as overload of the engines", () => {
  const admission = new Admission();
  for (let at = 0; at < 20_000; at += 100) {
    assert.ok("engine" in admission.admit({ at, wait: 3000, needsLoad: true }));
    assert.ok("engine" in admission.admit({ at: at + 50, wait: 50 }));
  }
});

test("under overload a load that must queue is refused, one that can start at once is not", () => {
  const admission = new Admission();
  for (let at = 0; at < 2000; at += 100)
    admission.admit({ at, wait: 4000, customer: "busy" });
  const admit = (wait: number) =>
    admission.admit({ at: 2000, wait, customer: "rare", needsLoad: true });
  const refusal = admit(2000);
  assert.ok("code" in refusal);
  assert.equal(refusal.code, "loadFailed");
  assert.equal(refusal.outcome, "not-run");
  assert.ok("engine" in admit(300));
});
