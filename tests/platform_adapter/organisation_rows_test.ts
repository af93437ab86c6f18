import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeConfiguration } from "../../platform/operator_rows.ts";
import { digestKey } from "../../src/adapters/keys/key_digest.ts";
import { configuration } from "./fake_store.ts";

function decode(fields: Record<string, unknown>) {
  const text = JSON.stringify({ ...configuration, ...fields });
  return decodeConfiguration(new TextEncoder().encode(text));
}

const north = {
  Name: "north",
  ApiKeys: ["key-1", "key-2"],
  Priority: 1,
  Unit: "token_stream",
  PlainTokens: 200,
  RatePerS: 5_000,
  Burst: 9_000,
  Remark: "unknown fields are ignored",
};

test("organisations are found by the digests of their keys and by name", () => {
  const south = { Name: "south", ApiKeys: ["key-3"], RatePerS: 0, Burst: 7 };
  const quiet = { Name: "quiet", Unit: "request", RatePerS: 2 };
  const { organisations } = decode({
    Tenants: [north, south, quiet],
  }).unsafeCoerce();
  const expected = {
    name: "north",
    priority: 1,
    quota: { unit: "tokens", rate: 5_000, burst: 9_000, plainTokens: 200 },
  };
  const find = (key: string) => organisations?.byKey.get(digestKey(key));
  assert.deepEqual(find("key-1"), expected);
  assert.deepEqual(find("key-2"), expected);
  assert.deepEqual(find("key-3"), {
    name: "south",
    priority: undefined,
    quota: undefined,
  });
  assert.equal(find("key-4"), undefined);
  const listed = [...(organisations?.byName.values() ?? [])];
  assert.deepEqual(
    listed.map(({ name, quota }) => [name, quota?.unit]),
    [
      ["north", "tokens"],
      ["south", undefined],
      ["quiet", "requests"],
    ],
  );
});

// Guards against a configuration of an earlier form that turns every caller away.
test("callers need no key without organisations", () => {
  for (const Tenants of [undefined, null, []]) {
    const { organisations } = decode({ Tenants }).unsafeCoerce();
    assert.equal(organisations, undefined);
  }
});

test("a route is public only if it says so", () => {
  const [route] = configuration.Routes;
  for (const [Public, expected] of [
    [true, true],
    [false, false],
    [undefined, false],
  ] as const) {
    const { routes } = decode({
      Routes: [{ ...route, Public }],
    }).unsafeCoerce();
    assert.equal(routes.get("desk.example")?.[0]?.isPublic, expected);
  }
});

// Guards against a key whose requests count for either of two organisations,
// against a header that cannot be written, and against keys in the log.
test("organisations that cannot be told apart or used are rejected with the field, and without the key", () => {
  const secret = "secret-key";
  const faults: readonly [object[], string][] = [
    [
      [
        { Name: "a", ApiKeys: [secret] },
        { Name: "b", ApiKeys: ["other", secret] },
      ],
      "Tenants.1.ApiKeys.1",
    ],
    [[{ Name: "a" }, { Name: "a" }], "Tenants.1.Name"],
    [[{ Name: "" }], "Tenants.0.Name"],
    [[{ Name: "a\r\nb" }], "Tenants.0.Name"],
    [[{ Name: "ä" }], "Tenants.0.Name"],
    [[{ ApiKeys: [secret] }], "Tenants.0.Name"],
    [[{ Name: "a", ApiKeys: [""] }], "Tenants.0.ApiKeys.0"],
    [[{ Name: "a", ApiKeys: [`${secret} x`] }], "Tenants.0.ApiKeys.0"],
    [[{ Name: "a", ApiKeys: [secret.repeat(200)] }], "Tenants.0.ApiKeys.0"],
    [[{ Name: "a", ApiKeys: secret }], "Tenants.0.ApiKeys"],
    [[{ Name: "a", RatePerS: -1 }], "Tenants.0.RatePerS"],
    [[{ Name: "a", Burst: "9" }], "Tenants.0.Burst"],
    [[{ Name: "a", Priority: "high" }], "Tenants.0.Priority"],
  ];
  for (const [Tenants, expected] of faults) {
    decode({ Tenants }).caseOf({
      Left: ({ field, reason }) => {
        assert.equal(field, expected);
        assert.doesNotMatch(`${field} ${reason}`, /secret/);
      },
      Right: () => assert.fail(`${expected} was accepted`),
    });
  }
});

test("an organisation may list a key twice", () => {
  const Tenants = [{ Name: "a", ApiKeys: ["k", "k"] }];
  assert.ok(decode({ Tenants }).isRight());
});
