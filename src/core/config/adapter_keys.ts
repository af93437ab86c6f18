import { type AdapterKey, formatAdapterKey } from "../ids.ts";
import type { Catalog } from "./catalog.ts";

/** Lists the keys of all versions of all adapters of a configuration. */
export function* listAdapterKeys(catalog: Catalog): Generator<AdapterKey> {
  for (const { name, versions } of catalog.adapters.values()) {
    for (const version of versions) yield formatAdapterKey(name, version);
  }
}
