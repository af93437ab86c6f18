import type { AdapterName, Version } from "../ids.ts";
import type { BusyHours, CatalogEntry } from "./catalog.ts";

/** Stores equal values once. */
class InternPool<Value> {
  readonly values: Value[] = [];
  readonly #indexes = new Map<string, number>();

  add(key: string, value: Value): number {
    const known = this.#indexes.get(key);
    if (known !== undefined) return known;
    this.#indexes.set(key, this.values.length);
    return this.values.push(value) - 1;
  }

  /** Drops the index and returns the values; nothing is added after that. */
  finish(): readonly Value[] {
    this.#indexes.clear();
    return this.values;
  }
}

/**
 * Adapters by name in flat arrays: names are ASCII, sorted and joined, and equal
 * version lists and hours are stored once. A map of objects took several times
 * the memory, and 170,000 adapters must fit into 32 MB per node.
 */
export class CompactAdapters implements ReadonlyMap<AdapterName, CatalogEntry> {
  readonly size: number;
  readonly #names: Uint8Array;
  readonly #ends: Uint32Array;
  readonly #versionIndexes: Uint32Array;
  readonly #busyIndexes: Uint32Array;
  readonly #weights: Float64Array;
  readonly #versions: readonly (readonly Version[])[];
  readonly #busy: readonly (readonly BusyHours[])[];

  static create(entries: Iterable<CatalogEntry>): CompactAdapters {
    return new CompactAdapters(entries);
  }

  private constructor(entries: Iterable<CatalogEntry>) {
    const sorted = [...entries].sort((a, b) => (a.name < b.name ? -1 : 1));
    this.size = sorted.length;
    this.#ends = new Uint32Array(sorted.length);
    this.#versionIndexes = new Uint32Array(sorted.length);
    this.#busyIndexes = new Uint32Array(sorted.length);
    this.#weights = new Float64Array(sorted.length);
    const versions = new InternPool<readonly Version[]>();
    const busy = new InternPool<readonly BusyHours[]>();
    let end = 0;
    sorted.forEach((entry, index) => {
      end += entry.name.length;
      this.#ends[index] = end;
      this.#weights[index] = entry.weight;
      const list = entry.versions.join();
      this.#versionIndexes[index] = versions.add(list, entry.versions);
      const hours = entry.busy.map(({ from, to }) => `${from}-${to}`).join();
      this.#busyIndexes[index] = busy.add(hours, entry.busy);
    });
    this.#versions = versions.finish();
    this.#busy = busy.finish();
    this.#names = new Uint8Array(end);
    sorted.forEach(({ name }, index) => {
      const start = this.#startOf(index);
      for (let i = 0; i < name.length; i++) {
        this.#names[start + i] = name.charCodeAt(i);
      }
    });
  }

  get(name: AdapterName): CatalogEntry | undefined {
    const index = this.#find(name);
    return index < 0 ? undefined : this.#entryAt(index);
  }

  has(name: AdapterName): boolean {
    return this.#find(name) >= 0;
  }

  *keys(): MapIterator<AdapterName> {
    for (let index = 0; index < this.size; index++) yield this.#nameAt(index);
  }

  *values(): MapIterator<CatalogEntry> {
    for (let index = 0; index < this.size; index++) yield this.#entryAt(index);
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

  #startOf(index: number): number {
    return index === 0 ? 0 : (this.#ends[index - 1] as number);
  }

  #nameAt(index: number): AdapterName {
    const part = this.#names.subarray(this.#startOf(index), this.#ends[index]);
    return String.fromCharCode(...part) as AdapterName;
  }

  #entryAt(index: number): CatalogEntry {
    const versions = this.#versions[this.#versionIndexes[index] as number];
    const busy = this.#busy[this.#busyIndexes[index] as number];
    return {
      name: this.#nameAt(index),
      versions: versions ?? [],
      busy: busy ?? [],
      weight: this.#weights[index] as number,
    };
  }

  /** Index of a name, or -1. */
  #find(name: string): number {
    let low = 0;
    let high = this.size - 1;
    while (low <= high) {
      const middle = (low + high) >> 1;
      const order = this.#compare(middle, name);
      if (order === 0) return middle;
      if (order < 0) low = middle + 1;
      else high = middle - 1;
    }
    return -1;
  }

  #compare(index: number, name: string): number {
    const start = this.#startOf(index);
    const length = (this.#ends[index] as number) - start;
    const shared = Math.min(length, name.length);
    for (let i = 0; i < shared; i++) {
      const order = (this.#names[start + i] as number) - name.charCodeAt(i);
      if (order !== 0) return order;
    }
    return length - name.length;
  }
}
