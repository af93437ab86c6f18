import type { Either } from "purify-ts";

/** Why the object store gave no answer. */
export type ObjectFailure = {
  readonly kind: "unavailable" | "missing";
  readonly detail: string;
};

/** Object store of the platform; objects are never overwritten with other content. */
export type ObjectStore = {
  get(key: string): Promise<Either<ObjectFailure, Uint8Array>>;
  put(key: string, content: Uint8Array): Promise<Either<ObjectFailure, void>>;
};
