import { brandString, type Digest } from "../ids.ts";

/** Prefix of the digests of whole requests; the ids of prompt parts hold no colon. */
const requestPrefix = "request:";

/** What of a request may crash servers, whichever other requests share it. */
export type RequestContent = {
  /** Parts of the prompt that other requests may have as well. */
  readonly parts: readonly Digest[];
  /** The whole request, which may come again. */
  readonly request: Digest;
};

/** Digest of a whole request, from a hash of what makes it the same request. */
export function formatRequestDigest(hash: Digest): Digest {
  return brandString(`${requestPrefix}${hash}`);
}

/** Whether a digest is that of a whole request. */
export function isRequestDigest(digest: Digest): boolean {
  return digest.startsWith(requestPrefix);
}

/** Digests of the parts and of the whole request. */
export function listUnits({ parts, request }: RequestContent): Digest[] {
  return [...parts, request];
}
