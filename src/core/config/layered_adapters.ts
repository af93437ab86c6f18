import type { AdapterName } from "../ids.ts";
import type { CatalogEntry } from "./catalog.ts";
import { CompactAdapters } from "./compact_adapters.ts";
import type { SheetDelta } from "./sheet.ts";

/** Maximum number of changed entries before they are merged into a new compact base. */
export const maxLayerEntries = 2_000;

/** Compact adapters with a layer of later changes, so that a small change does not rebuild the base. */
export class LayeredAdapters implements ReadonlyMap<AdapterName, CatalogEntry> {
  readonly size: number;
  readonly #base: CompactAdapters;
  /** Changed entries; undefined marks a removed one. */
  readonly #layer: ReadonlyMap<AdapterName, CatalogEntry | undefined>;

  static create(entries: Iterable<CatalogEntry>): LayeredAdapters {
    return new LayeredAdapters(CompactAdapters.create(entries), new Map());
  }

  private constructor(
    base: CompactAdapters,
    layer: ReadonlyMap<AdapterName, CatalogEntry | undefined>,
  ) {
    this.#base = base;
    this.#layer = layer;
    let { size } = base;
    for (const [name, entry] of layer) {
      size += (entry === undefined ? 0 : 1) - (base.has(name) ? 1 : 0);
    }
    this.size = size;
  }

  /** Returns these adapters with changes applied; the original is not modified. */
  apply(delta: SheetDelta): LayeredAdapters {
    const layer = new Map(this.#layer);
    for (const entry of delta.changed) layer.set(entry.name, entry);
    for (const name of delta.removed) layer.set(name, undefined);
    const next = new LayeredAdapters(this.#base, layer);
    if (layer.size <= maxLayerEntries) return next;
    return LayeredAdapters.create(next.values());
  }

  get(name: AdapterName): CatalogEntry | undefined {
    return this.#layer.has(name) ? this.#layer.get(name) : this.#base.get(name);
  }

  has(name: AdapterName): boolean {
    return this.get(name) !== undefined;
  }

  *values(): MapIterator<CatalogEntry> {
    for (const entry of this.#base.values()) {
      if (!this.#layer.has(entry.name)) yield entry;
    }
    for (const entry of this.#layer.values()) {
      if (entry !== undefined) yield entry;
    }
  }

  *keys(): MapIterator<AdapterName> {
    for (const { name } of this.values()) yield name;
  }

  *entries(): MapIterator<[AdapterName, CatalogEntry]> {
    for (const entry of this.values()) yield [entry.name, entry];
  }

  [Symbol.iterator](): MapIterator<[AdapterName, CatalogEntry]> {
    return this.entries();
  }

  forEach(
    callback: (
      value: CatalogEntry,
      key: AdapterName,
      map: ReadonlyMap<AdapterName, CatalogEntry>,
    ) => void,
  ): void {
    for (const entry of this.values()) callback(entry, entry.name, this);
  }
}
