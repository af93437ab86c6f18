import { sheetCodec } from "../../adapters/settings/sheet.ts";
import type { CatalogEntry } from "../../core/config/catalog.ts";
import { applyDelta, createConfiguration } from "../../core/config/revision.ts";
import { diffSheet } from "../../core/config/sheet.ts";
import {
  type AdapterName,
  brandNumber,
  brandString,
  type Revision,
  type Version,
} from "../../core/ids.ts";
import type { Experiment, Figures } from "../experiment.ts";
import { measureHeap } from "../heap.ts";
import { createRandom } from "../random.ts";

const lookupCount = 100_000;
const revision = brandNumber<Revision>(1);
/** Number of adapters in one change. */
const changedAdapters = 10;

const sizes: Record<
  string,
  { readonly count: number; readonly plain: boolean }
> = {
  "3,000 compact": { count: 3_000, plain: false },
  "170,000 compact": { count: 170_000, plain: false },
  "170,000 plain map": { count: 170_000, plain: true },
};

function drawEntries(count: number, random: () => number): CatalogEntry[] {
  return Array.from({ length: count }, (_, index) => {
    const first = 1 + Math.floor(random() * 20);
    const from = Math.floor(random() * 20);
    const version = (number: number) => brandString<Version>(`${number}`);
    return {
      name: brandString<AdapterName>(`chains-depot-${index}-terms`),
      versions: [version(first + 1), version(first)],
      busy: random() < 0.3 ? [{ from, to: from + 3 }] : [],
      weight: Math.round(random() * 1_000) / 10,
    };
  });
}

// Separate functions, so that no stack frame keeps the entries alive while the heap is measured.
function createPlain(count: number, random: () => number) {
  return new Map(
    drawEntries(count, random).map((entry) => [entry.name, entry]),
  );
}

function createCompact(count: number, random: () => number) {
  const adapters = drawEntries(count, random);
  const { digestText } = sheetCodec;
  return createConfiguration({ adapters }, { revision, digestText });
}

async function run(variant: string, seed: number): Promise<Figures> {
  const { count, plain } = sizes[variant] as (typeof sizes)[string];
  const random = createRandom(seed);
  const before = measureHeap();
  const { digestText } = sheetCodec;
  const config = plain
    ? createPlain(count, random)
    : createCompact(count, random);
  const bytes = (measureHeap() - before) / count;
  if (config instanceof Map) {
    return {
      "bytes per adapter": bytes,
      "total MB": (bytes * count) / 2 ** 20,
    };
  }
  const startedAt = performance.now();
  for (let index = 0; index < lookupCount; index++) {
    const number = Math.floor(random() * count);
    config.adapters.get(brandString(`chains-depot-${number}-terms`));
  }
  const lookedUpAt = performance.now();
  const changed = drawEntries(changedAdapters, random);
  const delta = { base: revision, changed, removed: [] };
  applyDelta(config, { delta, digestText });
  const appliedAt = performance.now();
  const sheet = { adapters: [...config.adapters.values()] };
  diffSheet(config.adapters, { base: revision, sheet });
  const comparedAt = performance.now();
  return {
    "bytes per adapter": bytes,
    "total MB": (bytes * count) / 2 ** 20,
    "lookup us": ((lookedUpAt - startedAt) / lookupCount) * 1_000,
    "change of 10 ms": appliedAt - lookedUpAt,
    "comparison of a sheet ms": comparedAt - appliedAt,
  };
}

export const experiment: Experiment = {
  name: "adapter_memory",
  summary:
    "Memory of the configuration in force per adapter, and the time of a change",
  variants: Object.keys(sizes),
  run,
  comparisons: [
    {
      figure: "bytes per adapter",
      variant: "170,000 plain map",
      baseline: "170,000 compact",
    },
  ],
  targets: [
    { figure: "total MB", variant: "170,000 compact", target: { atMost: 16 } },
  ],
};
