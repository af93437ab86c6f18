import { type Either, Left, Right } from "purify-ts";
import type { KeyDigest, OrganisationName } from "../ids.ts";
import { type Refusal, refuse } from "../results/refusal.ts";

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

/** An organisation with the digests of its keys. */
export type KeyedOrganisation = {
  readonly organisation: Organisation;
  readonly keys: readonly KeyDigest[];
};

/** Why organisations cannot form a directory; positions count from 0. */
export type DirectoryFault =
  | { readonly kind: "repeated-name"; readonly position: number }
  | {
      readonly kind: "shared-key";
      readonly position: number;
      readonly keyPosition: number;
      /** Organisation that has the key as well. */
      readonly holder: OrganisationName;
    };

/** Creates a directory, in which each key belongs to one organisation. */
export function createDirectory(
  entries: readonly KeyedOrganisation[],
): Either<DirectoryFault, OrganisationDirectory> {
  const byKey = new Map<KeyDigest, Organisation>();
  const byName = new Map<OrganisationName, Organisation>();
  for (const [position, { organisation, keys }] of entries.entries()) {
    if (byName.has(organisation.name))
      return Left({ kind: "repeated-name", position });
    byName.set(organisation.name, organisation);
    for (const [keyPosition, key] of keys.entries()) {
      const holder = byKey.get(key);
      if (holder !== undefined && holder !== organisation) {
        const { name } = holder;
        return Left({
          kind: "shared-key",
          position,
          keyPosition,
          holder: name,
        });
      }
      byKey.set(key, organisation);
    }
  }
  return Right({ byKey, byName });
}

/** Request whose caller is to be identified. */
export type Authentication = {
  /** Undefined if callers need no key. */
  readonly organisations: OrganisationDirectory | undefined;
  /** Whether the route of the request needs no key. */
  readonly isPublic: boolean;
  readonly credential: Credential | undefined;
};

/** Finds the organisation of a caller; undefined if it has none and needs none. */
export function authenticate({
  organisations,
  isPublic,
  credential = { kind: "none" },
}: Authentication): Either<Refusal, Organisation | undefined> {
  if (organisations === undefined) return Right(undefined);
  const organisation =
    credential.kind === "key"
      ? organisations.byKey.get(credential.digest)
      : undefined;
  if (organisation !== undefined || isPublic) return Right(organisation);
  return Left(refuseCredential(credential));
}

function refuseCredential(credential: Credential): Refusal {
  switch (credential.kind) {
    case "none":
      return refuse("unknownKey", "The request carries no key");
    case "key":
      return refuse("unknownKey", "No organisation has the key of the request");
    case "malformed":
      return refuse("malformedKey", credential.detail);
  }
}
