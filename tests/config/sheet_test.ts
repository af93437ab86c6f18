import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { parseSheet, sheetCodec } from "../../src/adapters/settings/sheet.ts";
import type { CatalogEntry } from "../../src/core/config/catalog.ts";
import { CompactAdapters } from "../../src/core/config/compact_adapters.ts";
import {
  applyDelta,
  createConfiguration,
  createEmptyConfiguration,
} from "../../src/core/config/revision.ts";
import { diffSheet, type Sheet } from "../../src/core/config/sheet.ts";
import { type AdapterName, brandNumber } from "../../src/core/ids.ts";

// Guards against faulty sheets that are accepted, and against changes that lead to
// another digest or content than the whole sheet.

const { digestText } = sheetCodec;

/** Message with which a sheet is refused. */
function faultsOf(content: unknown): string {
  return parseSheet(content).caseOf({
    Left: ({ code, detail }) => `${code}: ${detail}`,
    Right: () => "accepted",
  });
}

const entry = { name: "chains", versions: ["1"], busy: [], weight: 1 };

for (const { name, adapters, expected } of [
  {
    name: "an adapter listed twice",
    adapters: [entry, entry],
    expected: /adapters\.1\.name": value "chains": .*remove one entry/,
  },
  {
    name: "one adapter with two lists of versions",
    adapters: [entry, { ...entry, versions: ["2"] }],
    expected: /adapters\.1\.versions": value \["2"\]: .*keep one entry/,
  },
  {
    name: "a version listed twice",
    adapters: [{ ...entry, versions: ["1", "1"] }],
    expected: /adapters\.0\.versions\.1": value "1": .*remove one/,
  },
  {
    name: "no version",
    adapters: [{ ...entry, versions: [] }],
    expected: /adapters\.0\.versions": value \[\]: Name at least one/,
  },
  {
    name: "hours after midnight",
    adapters: [{ ...entry, busy: [{ from: 20, to: 26 }] }],
    expected: /adapters\.0\.busy\.0\.to": value 26: .*split a span/,
  },
  {
    name: "overlapping hours",
    adapters: [
      {
        ...entry,
        busy: [
          { from: 6, to: 9 },
          { from: 8, to: 10 },
        ],
      },
    ],
    expected: /adapters\.0\.busy\.1": value "8-10": .*join them/,
  },
  {
    name: "a name with spaces",
    adapters: [{ ...entry, name: "Snow Chains" }],
    expected: /adapters\.0\.name": value "Snow Chains": must be/,
  },
  {
    name: "an unknown field",
    adapters: [{ ...entry, colour: "red" }],
    expected: /adapters\.0": unknown field "colour"; remove it/,
  },
]) {
  test(`a sheet with ${name} is refused with path, value and remedy`, () => {
    const faults = faultsOf({ adapters });
    assert.match(faults, /^invalidSheet/);
    assert.match(faults, expected);
  });
}

test("hours and weight may be left out", () => {
  const adapters = [{ name: "chains", versions: ["2", "1"] }];
  assert.equal(faultsOf({ adapters }), "accepted");
});

function drawSheet(random: () => number): Sheet {
  const adapters: CatalogEntry[] = [];
  for (let index = 0; index < 300; index++) {
    if (random() < 0.2) continue;
    const first = Math.floor(random() * 3);
    adapters.push({
      name: `adapter-${index}` as AdapterName,
      versions: [`${first}`, `${first + 1}`] as never,
      busy:
        random() < 0.5 ? [{ from: 6, to: 6 + Math.ceil(random() * 9) }] : [],
      weight: Math.round(random() * 5),
    });
  }
  return { adapters };
}

test("changes applied one by one give the digest and content of the whole sheet", () => {
  const random = createSeededRandom(1);
  let config = createEmptyConfiguration();
  for (let step = 1; step <= 30; step++) {
    const sheet = drawSheet(random);
    const base = config.revision;
    const delta = diffSheet(config.adapters, { base, sheet });
    const revision = brandNumber<typeof base>(step);
    const bytes = sheetCodec.encode({ kind: "delta", revision, delta });
    const decoded = sheetCodec.decode(bytes);
    assert.ok(decoded?.kind === "delta");
    config = applyDelta(config, { delta: decoded.delta, digestText });
    const whole = createConfiguration(sheet, { revision, digestText });
    assert.equal(config.digest, whole.digest);
    assert.equal(config.adapters.size, sheet.adapters.length);
    const byName = (a: CatalogEntry, b: CatalogEntry) =>
      a.name < b.name ? -1 : 1;
    assert.deepEqual(
      [...config.adapters.values()].sort(byName),
      [...sheet.adapters].sort(byName),
    );
  }
});

test("compact adapters find every name and no other", () => {
  const { adapters } = drawSheet(createSeededRandom(2));
  const compact = CompactAdapters.create(adapters);
  for (const one of adapters) assert.deepEqual(compact.get(one.name), one);
  for (const name of ["adapter-", "adapter-1x", "a", "zzz", ""]) {
    assert.equal(compact.get(name as AdapterName), undefined);
  }
});
