import type { Catalog, ModelResolution } from "../core/config/catalog.ts";
import {
  type AdapterKey,
  brandString,
  formatAdapterKey,
  parseAdapterKey,
} from "../core/ids.ts";

/** Adapter versions in the simulated catalogue. */
export const simulatedAdapters: readonly AdapterKey[] = Array.from(
  { length: 8 },
  (_, index) =>
    formatAdapterKey(
      brandString(`ad${index}`),
      brandString(`v${1 + (index % 2)}`),
    ),
);

/** Configuration that every node of the simulation has applied. */
export const simulatedCatalog: Catalog = {
  revision: 1 as Catalog["revision"],
  digest: brandString("catalog"),
  adapters: new Map(
    simulatedAdapters
      .map(parseAdapterKey)
      .map(({ name, version }) => [
        name,
        { name, versions: [version], busy: [], weight: 1 },
      ]),
  ),
};

/** Resolves `ADAPTER@VERSION` against the catalogue. */
export function resolveModel(model: string): ModelResolution {
  const { name, version } = parseAdapterKey(brandString(model));
  const entry = simulatedCatalog.adapters.get(name);
  if (entry === undefined) return { kind: "unknown-adapter" };
  return entry.versions.includes(version)
    ? { kind: "found", key: brandString(model) }
    : { kind: "unknown-version" };
}
