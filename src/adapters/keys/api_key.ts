import type { Credential } from "../../core/gateway/organisations.ts";
import { brandString, type KeyDigest } from "../../core/ids.ts";
import { computeDigest } from "./keyring.ts";

/** Longest API key, in characters; it fits into the head of a request. */
const maxKeyLength = 1_024;
const keyForm = /^[\x21-\x7e]+$/;
const digestForm = /^[0-9a-f]{64}$/;

/** What an API key consists of. */
export const apiKeyRule = `1 to ${maxKeyLength} visible ASCII characters`;

/** Whether a text can be the API key of an organisation. */
export function isApiKey(text: string): boolean {
  return text.length <= maxKeyLength && keyForm.test(text);
}

/** Whether a text can be the digest of an API key. */
export function isKeyDigest(text: string): boolean {
  return digestForm.test(text);
}

/** Computes the digest of an API key, so that the key itself need not be kept. */
export function digestKey(key: string): KeyDigest {
  return brandString(computeDigest(key));
}

/** Decodes the key in a header, whose name is given in lower case; neither the key nor a part of it is kept. */
export function decodeKeyHeader(
  rawHeaders: readonly string[],
  name: string,
): Credential {
  const [key, ...others] = readHeaderValues(rawHeaders, name);
  if (key === undefined) return { kind: "none" };
  if (others.length > 0) {
    const detail = `Header ${name} is given more than once`;
    return { kind: "malformed", detail };
  }
  if (!isApiKey(key))
    return {
      kind: "malformed",
      detail: `Header ${name} must be ${apiKeyRule}`,
    };
  return { kind: "key", digest: digestKey(key) };
}

/** All values of a header as received, whose name is given in lower case. */
export function readHeaderValues(
  rawHeaders: readonly string[],
  name: string,
): string[] {
  const values: string[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    if (rawHeaders[at]?.toLowerCase() === name)
      values.push(rawHeaders[at + 1] as string);
  }
  return values;
}
