import type { AdapterName, Revision } from "../ids.ts";
import type { CatalogEntry } from "./catalog.ts";

/** Adapters of one morning sheet. */
export type Sheet = { readonly adapters: readonly CatalogEntry[] };

/** A fault of a sheet, and its remedy. */
export type SheetFault = {
  /** Path of the field, for instance `adapters.3.busy.0.to`. */
  readonly path: string;
  readonly value: unknown;
  readonly remedy: string;
};

/** Changes that lead from one revision to the next. */
export type SheetDelta = {
  readonly base: Revision;
  /** Entries that are new or replaced. */
  readonly changed: readonly CatalogEntry[];
  readonly removed: readonly AdapterName[];
};

/** Maximum number of faults reported at once. */
const maxFaults = 20;
const hoursPerDay = 24;

/** Checks across the fields of a well-formed sheet. */
export function findSheetFaults(sheet: Sheet): SheetFault[] {
  const faults: SheetFault[] = [];
  const seen = new Map<AdapterName, CatalogEntry>();
  for (const [index, entry] of sheet.adapters.entries()) {
    if (faults.length >= maxFaults) break;
    const path = `adapters.${index}`;
    const earlier = seen.get(entry.name);
    if (earlier === undefined) seen.set(entry.name, entry);
    else faults.push(describeDuplicate(path, { entry, earlier }));
    faults.push(...findVersionFaults(path, entry));
    faults.push(...findHourFaults(path, entry));
  }
  return faults.slice(0, maxFaults);
}

function describeDuplicate(
  path: string,
  pair: { readonly entry: CatalogEntry; readonly earlier: CatalogEntry },
): SheetFault {
  const { entry, earlier } = pair;
  const isSame = entry.versions.join() === earlier.versions.join();
  return {
    path: isSame ? `${path}.name` : `${path}.versions`,
    value: isSame ? entry.name : entry.versions,
    remedy: isSame
      ? `Adapter "${entry.name}" is listed twice; remove one entry`
      : `Adapter "${entry.name}" is listed above with versions ${earlier.versions.join(", ")}; keep one entry with all versions`,
  };
}

function findVersionFaults(path: string, entry: CatalogEntry): SheetFault[] {
  const { versions } = entry;
  if (versions.length === 0) {
    const remedy = "Name at least one version";
    return [{ path: `${path}.versions`, value: versions, remedy }];
  }
  const index = versions.findIndex((one, at) => versions.indexOf(one) !== at);
  if (index < 0) return [];
  const value = versions[index];
  const remedy = `Version "${value}" is listed twice; remove one`;
  return [{ path: `${path}.versions.${index}`, value, remedy }];
}

function findHourFaults(path: string, entry: CatalogEntry): SheetFault[] {
  const faults: SheetFault[] = [];
  for (const [index, { from, to }] of entry.busy.entries()) {
    const here = `${path}.busy.${index}`;
    if (!(from >= 0 && from < hoursPerDay)) {
      const remedy = "Give an hour from 0 to below 24";
      faults.push({ path: `${here}.from`, value: from, remedy });
    } else if (!(to > from && to <= hoursPerDay)) {
      const remedy =
        "Give an hour after `from` and at most 24; split a span over midnight in two";
      faults.push({ path: `${here}.to`, value: to, remedy });
    }
    const overlaps = entry.busy
      .slice(0, index)
      .some((other) => from < other.to && other.from < to);
    if (overlaps) {
      const remedy = "This span overlaps an earlier one; join them";
      faults.push({ path: here, value: `${from}-${to}`, remedy });
    }
  }
  return faults;
}

/** Whether two entries are equal. */
export function isSameEntry(a: CatalogEntry, b: CatalogEntry): boolean {
  return (
    a.weight === b.weight &&
    a.versions.length === b.versions.length &&
    a.versions.every((version, index) => version === b.versions[index]) &&
    a.busy.length === b.busy.length &&
    a.busy.every(
      ({ from, to }, index) =>
        from === b.busy[index]?.from && to === b.busy[index]?.to,
    )
  );
}

/** Changes that lead from a set of adapters to a sheet. */
export function diffSheet(
  current: ReadonlyMap<AdapterName, CatalogEntry>,
  next: { readonly base: Revision; readonly sheet: Sheet },
): SheetDelta {
  const added = new Map(
    next.sheet.adapters.map((entry) => [entry.name, entry]),
  );
  const changed: CatalogEntry[] = [];
  const removed: AdapterName[] = [];
  // One pass over the compact entries costs less than a search for each name.
  for (const known of current.values()) {
    const entry = added.get(known.name);
    if (entry === undefined) removed.push(known.name);
    else if (!isSameEntry(known, entry)) changed.push(entry);
    added.delete(known.name);
  }
  return { base: next.base, changed: [...changed, ...added.values()], removed };
}
