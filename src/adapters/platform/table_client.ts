import type { Either } from "purify-ts";
import { z } from "zod";
import type { RowKey } from "../../core/ids.ts";
import type {
  Row,
  TableFailure,
  TableService,
  Transaction,
  TransactionResult,
} from "../../ports/table.ts";
import {
  PlatformClient,
  type PlatformClientOptions,
  type PlatformFailure,
} from "./platform_client.ts";

const rowSchema = z.object({
  key: z.string(),
  version: z.number(),
  value: z.json(),
  attempt: z.string(),
});
const nullableRow = rowSchema.nullable();
const rowList = z.array(rowSchema);
const resultSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("committed") }),
  z.object({
    kind: z.literal("conflict"),
    current: z.array(z.tuple([z.string(), nullableRow])),
  }),
]);

/** HTTP client of the platform's table service. */
export class TableClient implements TableService {
  readonly #client: PlatformClient;

  constructor(options: PlatformClientOptions) {
    this.#client = PlatformClient.create("table", options);
  }

  static create(options: PlatformClientOptions): TableClient {
    return new TableClient(options);
  }

  async read(key: RowKey): Promise<Either<TableFailure, Row | undefined>> {
    const path = `/row?key=${encodeURIComponent(key)}`;
    const row = await this.#client.call({ method: "GET", path }, (body) => {
      const found = nullableRow.parse(JSON.parse(body.toString()));
      return found === null ? undefined : (found as Row);
    });
    return row.mapLeft(toReadFailure);
  }

  async scan(prefix: string): Promise<Either<TableFailure, readonly Row[]>> {
    const path = `/rows?key=${encodeURIComponent(prefix)}`;
    const rows = await this.#client.call(
      { method: "GET", path },
      (body) => rowList.parse(JSON.parse(body.toString())) as Row[],
    );
    return rows.mapLeft(toReadFailure);
  }

  async transact(
    transaction: Transaction,
  ): Promise<Either<TableFailure, TransactionResult>> {
    const result = await this.#client.call(
      {
        method: "POST",
        path: "/transactions",
        body: JSON.stringify(transaction),
      },
      decodeResult,
    );
    return result.mapLeft(toWriteFailure);
  }

  /** Closes all connections, including those in use. */
  close(): Promise<void> {
    return this.#client.close();
  }
}

function decodeResult(body: Buffer): TransactionResult {
  const result = resultSchema.parse(JSON.parse(body.toString()));
  if (result.kind === "committed") return result;
  const current = result.current.map(
    ([key, row]) =>
      [key as RowKey, row === null ? undefined : (row as Row)] as const,
  );
  return { kind: "conflict", current: new Map(current) };
}

/** A failed read never applied anything. */
function toReadFailure({ detail }: PlatformFailure): TableFailure {
  return { kind: "unavailable", detail };
}

function toWriteFailure({ kind, detail }: PlatformFailure): TableFailure {
  return { kind: kind === "unavailable" ? "unavailable" : "unknown", detail };
}
