import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { RequestQuota } from "../../src/node/gateway/requests/request_quota.ts";
import type { ProxiedRequest } from "../../src/ports/gateway.ts";
import type { QuotaResult, ServiceQuotas } from "../../src/ports/quotas.ts";
import { createOrganisation } from "./quota_fleet.ts";

const organisation = createOrganisation("small", 1_000);

/** Quotas that record what is taken and given back. */
function createQuotas(refusal?: QuotaResult) {
  const taken: number[] = [];
  const returned: number[] = [];
  const quotas: ServiceQuotas = {
    take(_, units) {
      taken.push(units);
      const credit = { units, lots: [], until: millis(1_000) };
      return refusal ?? { kind: "taken", credit };
    },
    giveBack: (_, { units }) => returned.push(units),
  };
  return { quotas, taken, returned };
}

type Call = Partial<Pick<ProxiedRequest, "tokens" | "relayed">> & {
  now?: number;
};

function createQuota(quotas: ServiceQuotas, call: Call = {}): RequestQuota {
  return RequestQuota.create({
    quotas,
    now: () => call.now ?? 0,
    request: { tokens: call.tokens, relayed: call.relayed },
    plan: { organisation },
    log: { record() {} },
  });
}

// Guards against requests that count less than the tokens of their head.
test("a request takes its tokens, or those of a plain one", async () => {
  const { quotas, taken } = createQuotas();
  await createQuota(quotas, { tokens: 650 }).take();
  await createQuota(quotas).take();
  assert.deepEqual(taken, [650, 100]);
});

// Guards against requests that count twice, at the node that passes them on and at the next.
test("a request that another node has passed on does not count", () => {
  const { quotas } = createQuotas();
  assert.equal(createQuota(quotas, { relayed: { runs: 0 } }).isNeeded, false);
  assert.equal(createQuota(quotas).isNeeded, true);
});

// Guards against credit that is lost with requests that no server ran.
test("credit goes back once if the request has not run", async () => {
  const { quotas, returned } = createQuotas();
  const quota = createQuota(quotas);
  await quota.take();
  quota.end(false);
  quota.end(false);
  assert.deepEqual(returned, [100]);
});

// Guards against credit for requests that may have run.
test("credit is used up by a request that may have run", async () => {
  const { quotas, returned } = createQuotas();
  const quota = createQuota(quotas);
  await quota.take();
  quota.end(true);
  assert.deepEqual(returned, []);
});

// Guards against credit of a request whose caller left while it was taken.
test("credit that is taken after the end goes back", async () => {
  const { quotas, returned } = createQuotas();
  const quota = createQuota(quotas);
  const taking = quota.take();
  quota.end(false);
  await taking;
  assert.deepEqual(returned, [100]);
});

// Guards against requests that wait with credit and are all sent in one later window.
test("credit that was taken long before the send is taken again", async () => {
  const { quotas, taken, returned } = createQuotas();
  const call = { now: 0 };
  const quota = createQuota(quotas, call);
  await quota.take();
  assert.equal(quota.isExpired, false);
  call.now = 1_001;
  assert.equal(quota.isExpired, true);
  await quota.take();
  assert.deepEqual([taken, returned], [[100, 100], [100]]);
});

// Guards against refusals that name no time, or claim that the request ran.
test("a refusal says that the request has not run, and when to return", async () => {
  const { quotas } = createQuotas({ kind: "refused", retryIn: millis(350) });
  const refusal = await createQuota(quotas).take();
  assert.equal(refusal?.code, "quotaExceeded");
  assert.equal(refusal?.outcome, "not-run");
  assert.equal(refusal?.retryAfter, 350);
});
