import type { KeyDigest, OrganisationName } from "../ids.ts";

/** What the work of a request is counted in: one for each, or its tokens. */
export type QuotaUnit = "requests" | "tokens";

/** Limit on the work of one organisation over all nodes. */
export type OrganisationQuota = {
  readonly unit: QuotaUnit;
  /** Units per second; above 0. */
  readonly rate: number;
  /** Units beyond the rate that may be used at once. */
  readonly burst: number;
  /** Units of a request that names no tokens, where the unit is tokens. */
  readonly plainTokens: number;
};

/** An organisation whose callers identify themselves by keys. */
export type Organisation = {
  readonly name: OrganisationName;
  /** Goes before the priority of the route; undefined if it has none of its own. */
  readonly priority: number | undefined;
  /** Undefined without a limit. */
  readonly quota: OrganisationQuota | undefined;
};

/** The organisations of one configuration. */
export type OrganisationDirectory = {
  readonly byKey: ReadonlyMap<KeyDigest, Organisation>;
  readonly byName: ReadonlyMap<OrganisationName, Organisation>;
};

/** How a caller identifies itself. */
export type Credential =
  | { readonly kind: "none" }
  | { readonly kind: "key"; readonly digest: KeyDigest }
  /** Several keys, or one that cannot be a key. */
  | { readonly kind: "malformed"; readonly detail: string };
