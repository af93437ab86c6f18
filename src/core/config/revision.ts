import {
  type AttemptToken,
  brandNumber,
  type Digest,
  formatAdapterKey,
  parseAdapterKey,
  type Revision,
} from "../ids.ts";
import type { Catalog, CatalogEntry, ModelResolution } from "./catalog.ts";
import { LayeredAdapters } from "./layered_adapters.ts";
import type { Sheet, SheetDelta } from "./sheet.ts";

/** Maximum number of deltas in the head row; nodes that are further behind start from the snapshot. */
export const maxDeltas = 128;

/** Key of a stored snapshot or delta, and the revision that it leads to. */
export type StoredObject = {
  readonly revision: Revision;
  readonly key: string;
};

/** Row `config/head`. */
export type Head = {
  readonly revision: Revision;
  readonly digest: Digest;
  readonly attempt: AttemptToken;
  readonly snapshot: StoredObject;
  /** Deltas after the snapshot, oldest first. */
  readonly deltas: readonly StoredObject[];
};

/** Reads the row of the head; undefined if it is malformed. */
export function parseHead(value: unknown): Head | undefined {
  const head = (value ?? {}) as Partial<Head>;
  const isComplete =
    isRevision(head.revision) &&
    typeof head.digest === "string" &&
    typeof head.attempt === "string" &&
    isStoredObject(head.snapshot) &&
    Array.isArray(head.deltas) &&
    head.deltas.length <= maxDeltas &&
    head.deltas.every(isStoredObject);
  return isComplete ? (head as Head) : undefined;
}

function isStoredObject(value: unknown): value is StoredObject {
  const object = (value ?? {}) as Partial<StoredObject>;
  return isRevision(object.revision) && typeof object.key === "string";
}

function isRevision(value: unknown): value is Revision {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Hash of the canonical text of one entry. */
export type DigestText = (text: string) => bigint;

/** Adapters of one revision with their digest. */
export type Configuration = Catalog & { readonly adapters: LayeredAdapters };

/** The digest is the sum of the entries' hashes modulo this, so that a change need not read all entries. */
const digestModulus = 1n << 128n;
const digestHexLength = 32;

/** Canonical text of an entry. */
function formatEntry(entry: CatalogEntry): string {
  const { name, versions, busy, weight } = entry;
  const hours = busy.map(({ from, to }) => [from, to]);
  return JSON.stringify([name, versions, hours, weight]);
}

function formatDigest(sum: bigint): Digest {
  const positive = ((sum % digestModulus) + digestModulus) % digestModulus;
  return positive.toString(16).padStart(digestHexLength, "0") as Digest;
}

/** Configuration of a whole sheet. */
export function createConfiguration(
  sheet: Sheet,
  options: { readonly revision: Revision; readonly digestText: DigestText },
): Configuration {
  const { revision, digestText } = options;
  let sum = 0n;
  for (const entry of sheet.adapters) sum += digestText(formatEntry(entry));
  const adapters = LayeredAdapters.create(sheet.adapters);
  return { revision, digest: formatDigest(sum), adapters };
}

/** Configuration of revision 0, before any sheet was applied. */
export function createEmptyConfiguration(): Configuration {
  return createConfiguration(
    { adapters: [] },
    { revision: brandNumber(0), digestText: () => 0n },
  );
}

/** Configuration after the changes of one revision. */
export function applyDelta(
  current: Configuration,
  change: { readonly delta: SheetDelta; readonly digestText: DigestText },
): Configuration {
  const { delta, digestText } = change;
  let sum = BigInt(`0x${current.digest}`);
  const remove = (entry: CatalogEntry | undefined) => {
    if (entry !== undefined) sum -= digestText(formatEntry(entry));
  };
  for (const entry of delta.changed) {
    remove(current.adapters.get(entry.name));
    sum += digestText(formatEntry(entry));
  }
  for (const name of delta.removed) remove(current.adapters.get(name));
  return {
    revision: brandNumber(current.revision + 1),
    digest: formatDigest(sum),
    adapters: current.adapters.apply(delta),
  };
}

/** Head row after a change; a new snapshot starts a new list of deltas. */
export function createNextHead(
  head: Head | undefined,
  next: {
    readonly configuration: Configuration;
    readonly attempt: AttemptToken;
    readonly delta: string;
    readonly snapshot: string | undefined;
  },
): Head {
  const { revision, digest } = next.configuration;
  const { attempt } = next;
  if (next.snapshot !== undefined || head === undefined) {
    const snapshot = { revision, key: next.snapshot ?? next.delta };
    return { revision, digest, attempt, snapshot, deltas: [] };
  }
  const deltas = [...head.deltas, { revision, key: next.delta }];
  return { revision, digest, attempt, snapshot: head.snapshot, deltas };
}

/** Whether the next revision needs a snapshot of its own. */
export function needsSnapshot(head: Head | undefined): boolean {
  return head === undefined || head.deltas.length >= maxDeltas;
}

/** Objects that a node at a revision fetches to reach the head. */
export function planFetch(
  head: Head,
  revision: Revision,
): {
  readonly snapshot: StoredObject | undefined;
  readonly deltas: StoredObject[];
} {
  const isBehindSnapshot = revision < head.snapshot.revision;
  const from = isBehindSnapshot ? head.snapshot.revision : revision;
  return {
    snapshot: isBehindSnapshot ? head.snapshot : undefined,
    deltas: head.deltas.filter((delta) => delta.revision > from),
  };
}

/** Maps the `model` of a request to an adapter version. */
export function resolveModel(
  catalog: Catalog | undefined,
  model: string,
): ModelResolution {
  const isVersioned = model.lastIndexOf("@") > 0;
  const { name, version } = isVersioned
    ? parseAdapterKey(model as never)
    : { name: model as never, version: undefined };
  const entry = catalog?.adapters.get(name);
  if (entry === undefined) return { kind: "unknown-adapter" };
  const chosen = version ?? entry.versions[0];
  if (chosen === undefined || !entry.versions.includes(chosen)) {
    return { kind: "unknown-version" };
  }
  return { kind: "found", key: formatAdapterKey(entry.name, chosen) };
}
