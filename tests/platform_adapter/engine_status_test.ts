import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { HttpEngineOrders } from "../../platform/engine_orders.ts";
import { HttpServerLinks } from "../../platform/server_links.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { silentMeter } from "../../src/ports/journal.ts";
import { createServer as describeServer } from "../gateway/gateway_values.ts";
import {
  deepArray,
  deepObject,
  oddNumbers,
  replaceField,
} from "./odd_entries.ts";
import { SealedServer } from "./sealed_server.ts";

const report = {
  Stage: "ready",
  Models: [{ Name: "m0", Version: 1, Adapters: ["a1@2"] }],
  Incoming: ["m0/a2@3"],
  Busy: false,
  Sequence: 4,
};

const longText = JSON.stringify("x".repeat(100_000));

const oddReports = [
  "",
  "null",
  "[]",
  deepArray,
  deepObject,
  ...oddNumbers.map((json) => replaceField(report, "Sequence", json)),
  ...oddNumbers.map((json) =>
    replaceField(report, "Models", `[{"Name":"m0","Version":${json}}]`),
  ),
  ...["5", deepArray, '{"toString":1}', longText].flatMap((json) => [
    replaceField(report, "Models", `[{"Name":${json}}]`),
    replaceField(report, "Models", `[{"Name":"m0","Adapters":[${json}]}]`),
    replaceField(report, "Incoming", `[${json}]`),
  ]),
  replaceField(report, "Incoming", '["m0","/a1@1"]'),
  replaceField(report, "Models", deepArray),
  replaceField(report, "Busy", "1e308"),
];

async function open() {
  const server = await SealedServer.open();
  const clock = RealClock.create();
  const links = HttpServerLinks.create({ clock, meter: silentMeter });
  const orders = HttpEngineOrders.create({
    clock,
    endpointOf: (engine) => links.endpointOf(engine),
    readHead: () => {},
  });
  const engine = describeServer({ address: server.address });
  async function fetchReport(text: string) {
    server.report = text;
    return orders.fetchStatus(engine);
  }
  async function close() {
    await links.endpointOf(engine).close();
    server.close();
  }
  return { fetchReport, close };
}

// Guards against contents out of range: a negative version went on into the
// messages of the engine's owner, which the other nodes then refused as a whole.
test("an odd report of an engine is no report", async (context) => {
  const { fetchReport, close } = await open();
  context.after(close);
  for (const text of oddReports) {
    const status = await fetchReport(text);
    assert.ok(status.isLeft(), text.slice(0, 200));
  }
  const status = (await fetchReport(JSON.stringify(report))).unsafeCoerce();
  assert.equal(status.orderCount, 4);
  assert.deepEqual(status.incoming, [
    { model: "m0", adapter: "a2", version: 3 },
  ]);
});

test("reports of any form yield counts in range or none", async (context) => {
  const { fetchReport, close } = await open();
  context.after(close);
  const json = fc.oneof(fc.jsonValue({ maxDepth: 3 }), fc.double());
  const adapter = fc
    .tuple(fc.string(), fc.double())
    .map(([name, version]) => `${name}@${version}`);
  const model = fc.record({
    Name: fc.string(),
    Version: fc.oneof(fc.nat(), json),
    Adapters: fc.array(adapter),
  });
  const fields = fc.record(
    {
      Models: fc.oneof(json, fc.array(model)),
      Incoming: json,
      Busy: json,
      Sequence: fc.oneof(fc.nat(), json),
    },
    { requiredKeys: [] },
  );
  await fc.assert(
    fc.asyncProperty(fields, async (odd) => {
      const status = await fetchReport(JSON.stringify({ ...report, ...odd }));
      status.ifRight(({ models, orderCount }) => {
        assert.ok(Number.isSafeInteger(orderCount) && orderCount >= 0);
        for (const { version, adapters } of models)
          for (const found of [
            version,
            ...adapters.map((held) => held.version),
          ])
            assert.ok(Number.isSafeInteger(found) && found >= 0, `${found}`);
      });
    }),
    { seed: 30, numRuns: 300 },
  );
});
