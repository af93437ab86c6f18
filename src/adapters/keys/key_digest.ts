import { brandString, type KeyDigest } from "../../core/ids.ts";
import { computeDigest } from "./keyring.ts";

/** Computes the digest of an API key, so that the key itself need not be kept. */
export function digestKey(key: string): KeyDigest {
  return brandString(computeDigest(key));
}
