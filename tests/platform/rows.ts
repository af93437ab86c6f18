/** Row keys and transactions for the table service tests. */
import {
  type AttemptToken,
  brandString,
  type RowKey,
} from "../../src/core/ids.ts";
import type { Json, Transaction } from "../../src/ports/table.ts";

export function key(name: string): RowKey {
  return brandString<RowKey>(name);
}

/** Creates a transaction that writes one row, conditional on its version if one is given. */
export function write(
  name: string,
  value: Json | undefined,
  version?: number | "absent",
): Transaction {
  return {
    attempt: brandString<AttemptToken>(`${name}-${JSON.stringify(value)}`),
    conditions: version === undefined ? [] : [{ key: key(name), version }],
    writes: [{ key: key(name), value }],
  };
}
