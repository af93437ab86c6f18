import type { Either } from "purify-ts";

/** Why a call to the object store failed. */
export type ObjectFailure = {
  readonly kind: "unavailable" | "missing";
  readonly detail: string;
};

/** Object store of the platform; an object is never overwritten with different content. */
export type ObjectStore = {
  get(key: string): Promise<Either<ObjectFailure, Uint8Array>>;
  put(key: string, content: Uint8Array): Promise<Either<ObjectFailure, void>>;
};
