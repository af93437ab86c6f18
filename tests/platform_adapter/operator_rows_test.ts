import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  decodeAdapterVersion,
  decodeConfiguration,
} from "../../platform/operator_rows.ts";
import { configuration } from "./fake_store.ts";
import { deepArray, oddNumbers, replaceField } from "./odd_entries.ts";

function encode(text: string): Uint8Array {
  return new TextEncoder().encode(text);
}

const [route] = configuration.Routes;

/** Configurations with one field out of range or of another type, as JSON. */
const oddConfigurations = [
  ...oddNumbers
    .filter((json) => json !== "0.5")
    .flatMap((json) => [
      ...["TimeoutMs", "TargetLatencyMs"].map((field) =>
        replaceField(
          configuration,
          "Routes",
          `[${replaceField(route as object as Record<string, unknown>, field, json)}]`,
        ),
      ),
      ...["HeaderTimeoutMs", "IdleTimeoutMs"].map((field) =>
        replaceField(
          configuration,
          "Limits",
          replaceField(configuration.Limits, field, json),
        ),
      ),
    ]),
  ...oddNumbers.map((json) => replaceField(configuration, "Version", json)),
  replaceField(configuration, "Routes", deepArray),
  replaceField(configuration, "Services", '{"__proto__":[]}'),
];

// Guards against limits that no clock or server can keep, such as a time limit
// of 1e308 ms or a negative one.
test("a configuration with a value out of range is not decoded, and the fault tells the field", () => {
  for (const text of oddConfigurations) {
    const decoded = decodeConfiguration(encode(text));
    decoded.caseOf({
      Left: ({ field }) => assert.ok(field.length > 0),
      Right: () => assert.fail(text.slice(0, 400)),
    });
  }
});

// Guards against kinds that are names of properties of every object.
test("an unknown kind of a route counts as one that runs once", () => {
  for (const Kind of ["constructor", "__proto__", "toString", "odd", ""]) {
    const Routes = [{ ...route, Kind }];
    const decoded = decodeConfiguration(
      encode(JSON.stringify({ ...configuration, Routes })),
    ).unsafeCoerce();
    const [found] = decoded.routes.get("desk.example") ?? [];
    assert.equal(found?.retryRule, "once", Kind);
  }
});

test("operator rows of any form do not throw", () => {
  const json = fc.oneof(fc.jsonValue({ maxDepth: 3 }), fc.double());
  const odd = fc.tuple(fc.constantFrom(...Object.keys(configuration)), json);
  fc.assert(
    fc.property(odd, fc.string({ unit: "binary" }), ([field, value], text) => {
      const content = JSON.stringify({ ...configuration, [field]: value });
      decodeConfiguration(encode(content));
      decodeConfiguration(encode(text));
      decodeAdapterVersion(encode(text));
      decodeAdapterVersion(encode(JSON.stringify(value)));
    }),
    { seed: 30, numRuns: 1_000 },
  );
});
