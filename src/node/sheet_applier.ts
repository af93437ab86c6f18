import { type Either, Left, Right } from "purify-ts";
import { millis, sleep } from "../core/clock.ts";
import {
  applyDelta,
  type Configuration as Config,
  createEmptyConfiguration,
  createNextHead,
  type Head,
  needsSnapshot,
} from "../core/config/revision.ts";
import { diffSheet, type Sheet } from "../core/config/sheet.ts";
import {
  type AttemptToken,
  brandString,
  type Revision,
  type RowKey,
} from "../core/ids.ts";
import { type Refusal, refuse } from "../core/results/refusal.ts";
import type { AppliedSheet, RevisionRecord } from "../ports/operators.ts";
import type { Json, Transaction, TransactionResult } from "../ports/table.ts";
import {
  fetchToHead,
  formatHead,
  headKey,
  readHead,
  type StoredHead,
  type StoreOptions,
  storeTimeout,
} from "./configuration_store.ts";
import { withTimeout } from "./timeout.ts";

/** Maximum number of attempts of one store call. */
const maxAttempts = 5;
/** Delay between two attempts, in ms. */
const retryWait = millis(300);
/** Number of digits of the revision in a history key; zero-padding keeps the keys in revision order. */
const revisionDigits = 10;
const historyPrefix = "config/history/";

/** Change requested by an operator. */
export type SheetChange = {
  /** Revision on which the change is based. */
  readonly base: number;
  readonly sheet: unknown;
  readonly operator: string;
  readonly attempt: string;
};

/** Accepted change with the resulting configuration; without it if the change was accepted by an earlier attempt. */
export type AcceptedSheet = AppliedSheet & {
  readonly config: Config | undefined;
  readonly objects: readonly Uint8Array[];
};

type PreparedRevision = {
  readonly stored: StoredHead | undefined;
  readonly config: Config;
  readonly head: Head;
  readonly objects: Uint8Array[];
};

const unavailable = (detail: string) =>
  Left(refuse("storeUnavailable", detail));

/** Applies a sheet if its base is still the newest revision. */
export async function applySheet(
  change: SheetChange,
  options: StoreOptions & { readonly current: Config | undefined },
): Promise<Either<Refusal, AcceptedSheet>> {
  const sheet = options.codec.parse(change.sheet);
  if (sheet.isLeft()) return Left(sheet.extract() as Refusal);
  const read = await retry(options, () => readHead(options));
  if (read.isLeft()) return unavailable("The table service did not answer");
  const stored = read.extract() as StoredHead | undefined;
  const newest = stored?.head.revision ?? 0;
  if (newest > change.base) return await findAccepted(change, options);
  if (newest < change.base) return refuseStaleBase(change, newest);
  const prepared = await prepare(change, {
    ...options,
    sheet: sheet.extract() as Sheet,
    stored,
  });
  if (prepared.isLeft()) return Left(prepared.extract() as Refusal);
  return await commit(change, prepared.extract() as PreparedRevision, options);
}

/** Retries an idempotent call, since one connection can stop responding while new ones work. */
async function retry<Answer, Failure>(
  options: StoreOptions,
  call: () => Promise<Either<Failure, Answer>>,
): Promise<Either<Failure, Answer>> {
  let answer = await call();
  for (let attempt = 1; attempt < maxAttempts && answer.isLeft(); attempt++) {
    await sleep(options.clock, retryWait);
    answer = await call();
  }
  return answer;
}

function refuseStaleBase(change: SheetChange, newest: number) {
  const detail = `The change is based on revision ${change.base}, but revision ${newest} is in force`;
  return Left(refuse("revisionConflict", detail));
}

/** Stores the object of the next revision before the head row refers to it. */
async function prepare(
  change: SheetChange,
  options: StoreOptions & {
    readonly current: Config | undefined;
    readonly sheet: Sheet;
    readonly stored: StoredHead | undefined;
  },
): Promise<Either<Refusal, PreparedRevision>> {
  const { codec, sheet, stored } = options;
  const base = await loadBase(stored?.head, options);
  if (base.isLeft()) return Left(base.extract() as Refusal);
  const before = base.extract() as Config;
  const delta = diffSheet(before.adapters, { base: before.revision, sheet });
  const config = applyDelta(before, { delta, digestText: codec.digestText });
  const { revision } = config;
  const isSnapshot = needsSnapshot(stored?.head);
  const kind = isSnapshot ? "snapshot" : "delta";
  const key = `config/${kind}/${revision}-${change.attempt}`;
  const object = isSnapshot
    ? codec.encode({ kind: "snapshot", revision, sheet })
    : codec.encode({ kind: "delta", revision, delta });
  const put = await retry(options, () =>
    withTimeout(options.clock, options.objects.put(key, object), {
      timeout: storeTimeout,
      fallback: Left({
        kind: "unavailable" as const,
        detail: `The object store did not answer in time (${storeTimeout} ms)`,
      }),
    }),
  );
  if (put.isLeft()) return unavailable("The object store did not answer");
  const head = createNextHead(stored?.head, {
    configuration: config,
    attempt: brandString<AttemptToken>(change.attempt),
    delta: key,
    snapshot: isSnapshot ? key : undefined,
  });
  return Right({ stored, config, head, objects: [object] });
}

/** Returns the configuration on which the change is based; fetches it if this node is behind. */
async function loadBase(
  head: Head | undefined,
  options: StoreOptions & { readonly current: Config | undefined },
): Promise<Either<Refusal, Config>> {
  const current = options.current ?? createEmptyConfiguration();
  if (head === undefined) return Right(createEmptyConfiguration());
  if (current.revision > head.revision) {
    return unavailable(
      "The table service has an older revision than this node",
    );
  }
  const fetched = await fetchToHead(current, head, options);
  return fetched
    .map(({ config }) => config)
    .mapLeft(({ detail }) => refuse("storeUnavailable", detail));
}

async function commit(
  change: SheetChange,
  prepared: PreparedRevision,
  options: StoreOptions,
): Promise<Either<Refusal, AcceptedSheet>> {
  const transaction = buildTransaction(change, prepared, options);
  const { revision, digest } = prepared.config;
  const { config, objects } = prepared;
  const accepted = Right({ revision, digest, config, objects });
  let mayHaveCommitted = false;
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const answer = await withTimeout(
      options.clock,
      options.table.transact(transaction),
      {
        timeout: storeTimeout,
        fallback: Left({
          kind: "unknown" as const,
          detail: `The table did not answer in time (${storeTimeout} ms)`,
        }),
      },
    );
    if (answer.isRight()) {
      const result = answer.extract() as TransactionResult;
      if (result.kind === "committed") return accepted;
      // An earlier attempt whose answer was lost may have committed the transaction.
      return await findAccepted(change, options, accepted);
    }
    mayHaveCommitted ||=
      (answer.extract() as { kind: string }).kind === "unknown";
    await sleep(options.clock, retryWait);
  }
  if (!mayHaveCommitted) return unavailable("The table service did not answer");
  const detail = `No answer for attempt "${change.attempt}"; check the history before applying the sheet again`;
  return Left(refuse("applyUnknown", detail));
}

function buildTransaction(
  change: SheetChange,
  prepared: PreparedRevision,
  options: StoreOptions,
): Transaction {
  const { stored, head, config } = prepared;
  const record: RevisionRecord = {
    revision: config.revision,
    digest: config.digest,
    operator: change.operator,
    acceptedAt: options.clock.wallNow(),
    adapters: config.adapters.size,
  };
  return {
    attempt: head.attempt,
    conditions: [{ key: headKey, version: stored?.version ?? "absent" }],
    writes: [
      { key: headKey, value: formatHead(head) },
      { key: historyKey(config.revision), value: record as unknown as Json },
    ],
  };
}

function historyKey(revision: number): RowKey {
  const digits = String(revision).padStart(revisionDigits, "0");
  return brandString(`${historyPrefix}${digits}`);
}

/** Checks the history for whether this change became the revision after its base. */
async function findAccepted(
  change: SheetChange,
  options: StoreOptions,
  accepted?: Either<Refusal, AcceptedSheet>,
): Promise<Either<Refusal, AcceptedSheet>> {
  const next = change.base + 1;
  const answer = await retry(options, () =>
    withTimeout(options.clock, options.table.read(historyKey(next)), {
      timeout: storeTimeout,
      fallback: Left({
        kind: "unknown" as const,
        detail: `The table did not answer in time (${storeTimeout} ms)`,
      }),
    }),
  );
  if (answer.isLeft()) {
    const detail = `The answer for attempt "${change.attempt}" was lost; check the history before applying the sheet again`;
    return Left(refuse("applyUnknown", detail));
  }
  const row = answer.orDefault(undefined);
  if (row?.attempt !== change.attempt) return refuseStaleBase(change, next);
  if (accepted !== undefined) return accepted;
  const { revision, digest } = row.value as unknown as RevisionRecord;
  return Right({ revision, digest, config: undefined, objects: [] });
}

/** Accepted revisions, newest first. */
export async function readHistory(
  limit: number,
  options: StoreOptions & { readonly newest: Revision },
): Promise<Either<Refusal, readonly RevisionRecord[]>> {
  const count = Math.min(limit, options.newest);
  const keys = Array.from({ length: count }, (_, index) =>
    historyKey(options.newest - index),
  );
  const answers = await Promise.all(
    keys.map((key) =>
      withTimeout(options.clock, options.table.read(key), {
        timeout: storeTimeout,
        fallback: Left({
          kind: "unknown" as const,
          detail: `The table did not answer in time (${storeTimeout} ms)`,
        }),
      }),
    ),
  );
  if (answers.some((answer) => answer.isLeft())) {
    return unavailable("The table service did not answer");
  }
  return Right(
    answers.flatMap((answer) => {
      const row = answer.orDefault(undefined);
      return row === undefined ? [] : [row.value as unknown as RevisionRecord];
    }),
  );
}
