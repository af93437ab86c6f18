import { createHash } from "node:crypto";
import { brandString, type KeyDigest } from "../../core/ids.ts";

/** Computes the digest of an API key, so that the key itself need not be kept. */
export function digestKey(key: string): KeyDigest {
  return brandString(createHash("sha256").update(key).digest("hex"));
}
