import { createHash } from "node:crypto";
import { brandString, type Digest } from "../core/ids.ts";

/** Digest of some fields and a body; equal content has the same digest at every node. */
export function digestContent(
  fields: readonly (string | undefined)[],
  body: Uint8Array = new Uint8Array(0),
): Digest {
  const hash = createHash("sha256");
  hash.update(JSON.stringify(fields));
  hash.update(body);
  return brandString(hash.digest("hex"));
}
