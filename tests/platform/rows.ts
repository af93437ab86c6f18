/** Transactions for the tests of the table service. */
import {
  type AttemptToken,
  brandString,
  type RowKey,
} from "../../src/core/ids.ts";
import type { Json, Transaction } from "../../src/ports/table.ts";

export function key(name: string): RowKey {
  return brandString<RowKey>(name);
}

/** Writes one row, on condition of its version if one is given. */
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
