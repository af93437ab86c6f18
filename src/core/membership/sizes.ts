import type { Item, JsonValue } from "./types.ts";

/** Bytes of a datagram without its items: headers, signature, purpose and sender. */
export const headerBytes = 85;
const tagBytes = 5;
const counterBytes = 5;
/** Bounds below which an integer takes 1 and 3 bytes. */
const smallNumber = 128;
const mediumNumber = 65_536;

/** Bytes of a compact encoding of a value, rounded up. */
function estimateValue(value: JsonValue): number {
  if (typeof value === "string") return value.length + 2;
  if (typeof value === "number") return estimateNumber(value);
  if (value === null || typeof value === "boolean") return 1;
  if (Array.isArray(value)) {
    return value.reduce((sum, part) => sum + estimateValue(part), 3);
  }
  return Object.entries(value).reduce(
    (sum, [key, part]) => sum + key.length + 2 + estimateValue(part),
    3,
  );
}

function estimateNumber(value: number): number {
  if (!Number.isInteger(value) || value < 0) return 9;
  if (value < smallNumber) return 1;
  return value < mediumNumber ? 3 : 5;
}

/** Bytes of an item in a datagram, rounded up; the traffic limits use it. */
export function estimateBytes(item: Item): number {
  switch (item.type) {
    case "member": {
      const { node, region, dataCentre, callers, peers } = item.info;
      const parts = [node, region, dataCentre, callers, peers];
      return parts.reduce((sum, part) => sum + part.length + 2, 8);
    }
    case "entry": {
      const { key, value } = item.entry;
      const fixed = 4 + tagBytes + 2 * counterBytes;
      return fixed + key.length + estimateValue(value);
    }
    case "centre":
      return 2 + tagBytes + counterBytes;
    case "origin":
      return 3 + tagBytes + 2 * counterBytes;
  }
}

/** Approximate bytes of several items and of the datagram that carries them. */
export function estimateMessage(items: readonly Item[]): number {
  return items.reduce((sum, item) => sum + estimateBytes(item), headerBytes);
}
