import type {
  AdapterKey,
  AdapterName,
  Digest,
  Revision,
  Version,
} from "../ids.ts";

/** Span of hours of the day in which an adapter is expected to be busy. */
export type BusyHours = {
  /** Start and end in hours from 0 to 24, local time of the sheet. */
  readonly from: number;
  readonly to: number;
};

/** One adapter of the morning sheet. */
export type CatalogEntry = {
  readonly name: AdapterName;
  /** Versions that callers may name; the first one is used when none is named. */
  readonly versions: readonly Version[];
  readonly busy: readonly BusyHours[];
  /** Expected share of demand in busy hours, relative to the other adapters. */
  readonly weight: number;
};

/** Configuration of one revision, as every node holds it. */
export type Catalog = {
  readonly revision: Revision;
  readonly digest: Digest;
  readonly adapters: ReadonlyMap<AdapterName, CatalogEntry>;
};

/** Result of looking up a request's `model` in the configuration in force. */
export type ModelResolution =
  | { readonly kind: "found"; readonly key: AdapterKey }
  | { readonly kind: "unknown-adapter" }
  | { readonly kind: "unknown-version" };
