import { type Either, Left, Right } from "purify-ts";
import { type Clock, type Millis, millis } from "../core/clock.ts";
import {
  applyDelta,
  type Configuration as Config,
  createConfiguration,
  type Head,
  parseHead,
  planFetch,
  type StoredObject,
} from "../core/config/revision.ts";
import { brandString, type RowKey } from "../core/ids.ts";
import type { ObjectStore } from "../ports/objects.ts";
import type { SheetCodec, SheetObject } from "../ports/sheets.ts";
import type { Json, Row, TableService } from "../ports/table.ts";
import { withTimeout } from "./timeout.ts";

/** Key of the row that refers to the configuration in force. */
export const headKey = brandString<RowKey>("config/head");
/** Timeout of one call to the table or the object store, in ms. */
export const storeTimeout = millis(1_000);
/** Timeout of one read of a snapshot, in ms. */
const snapshotTimeout = millis(10_000);

/** Reason why the configuration could not be read. */
export type StoreFailure = {
  readonly kind: "unavailable" | "digest";
  readonly detail: string;
};

/** Dependencies for access to the stored configuration. */
export type StoreOptions = {
  readonly clock: Clock;
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly codec: SheetCodec;
};

/** Head row with its version in the table. */
export type StoredHead = { readonly head: Head; readonly version: number };

/** Reads the head row; undefined until the first sheet is applied. */
export async function readHead(
  options: StoreOptions,
): Promise<Either<StoreFailure, StoredHead | undefined>> {
  const answer = await withTimeout(options.clock, options.table.read(headKey), {
    timeout: storeTimeout,
    fallback: Left({
      kind: "unknown" as const,
      detail: `The table did not answer in time (${storeTimeout} ms)`,
    }),
  });
  return answer
    .mapLeft(({ detail }) => ({ kind: "unavailable" as const, detail }))
    .chain(decodeHead);
}

function decodeHead(
  row: Row | undefined,
): Either<StoreFailure, StoredHead | undefined> {
  if (row === undefined) return Right(undefined);
  const head = parseHead(row.value);
  if (head !== undefined) return Right({ head, version: row.version });
  const detail = `Row ${headKey} is malformed; restore it by writing the one before`;
  return Left({ kind: "digest", detail });
}

/** Converts a head to the value stored in the table. */
export function formatHead(head: Head): Json {
  return head as unknown as Json;
}

/** Fetches the objects that update a configuration to the head and verifies the digest. */
export async function fetchToHead(
  current: Config,
  head: Head,
  options: StoreOptions,
): Promise<Either<StoreFailure, { config: Config; objects: Uint8Array[] }>> {
  if (head.revision <= current.revision) {
    return Right({ config: current, objects: [] });
  }
  const plan = planFetch(head, current.revision);
  const names = [...(plan.snapshot ? [plan.snapshot] : []), ...plan.deltas];
  const answers = await Promise.all(
    names.map((name) => fetchObject(name, options)),
  );
  const objects: Uint8Array[] = [];
  for (const answer of answers) {
    if (answer.isLeft()) return Left(answer.extract() as StoreFailure);
    objects.push(answer.extract() as Uint8Array);
  }
  const config = replay(current, objects, options.codec);
  const isValid =
    config?.revision === head.revision && config.digest === head.digest;
  if (config === undefined || !isValid) {
    const detail = `Objects of revision ${head.revision} do not match its digest; apply the sheet again`;
    return Left({ kind: "digest", detail });
  }
  return Right({ config, objects });
}

async function fetchObject(
  name: StoredObject,
  options: StoreOptions,
): Promise<Either<StoreFailure, Uint8Array>> {
  const timeout: Millis = name.key.startsWith("config/snapshot/")
    ? snapshotTimeout
    : storeTimeout;
  const answer = await withTimeout(
    options.clock,
    options.objects.get(name.key),
    {
      timeout,
      fallback: Left({
        kind: "unavailable" as const,
        detail: `The object store did not answer in time (${timeout} ms)`,
      }),
    },
  );
  return answer.mapLeft(({ detail }) => ({ kind: "unavailable", detail }));
}

/** Applies stored objects in order; undefined if one is malformed or out of order. */
export function replay(
  current: Config,
  objects: readonly Uint8Array[],
  codec: SheetCodec,
): Config | undefined {
  let config: Config | undefined = current;
  for (const bytes of objects) {
    const object = codec.decode(bytes);
    if (object === undefined || config === undefined) return undefined;
    config = replayOne(config, object, codec);
  }
  return config;
}

function replayOne(
  config: Config,
  object: SheetObject,
  codec: SheetCodec,
): Config | undefined {
  const { digestText } = codec;
  if (object.kind === "snapshot") {
    const { revision } = object;
    return createConfiguration(object.sheet, { revision, digestText });
  }
  if (object.delta.base !== config.revision) return undefined;
  return applyDelta(config, { delta: object.delta, digestText });
}
