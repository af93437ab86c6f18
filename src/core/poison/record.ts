import { type Either, Left, Right } from "purify-ts";
import {
  brandString,
  type Digest,
  type EngineId,
  type RowKey,
} from "../ids.ts";

/**
 * Crash record of the content of a request. Both lists only grow until they are
 * full, so that records from gossip and from the table merge to the same result
 * in any order.
 */
export type PoisonRecord = {
  /** Crashes during which the content was running. */
  readonly crashes: readonly string[];
  /** Crashes of which the content was later shown not to be the cause. */
  readonly cleared: readonly string[];
};

/** Status of request content; unknown content runs without restriction. */
export type PoisonStatus = "unknown" | "suspect" | "convicted";

/** Number of crashes after which content is refused. */
export const crashesToConvict = 2;
/** Maximum number of crashes in a record; with all of them cleared it fits into one datagram. */
export const crashLimit = 16;

/** Record of unknown content. */
export const emptyRecord: PoisonRecord = { crashes: [], cleared: [] };

/** Id of one crash, the same at every node. */
export function formatCrashId(engine: EngineId, boot: string): string {
  return `${engine}/${boot}`;
}

/** Key of the row that makes a convicted content known to all nodes. */
export function poisonRowKey(digest: Digest): RowKey {
  return brandString<RowKey>(`poison/${digest}`);
}

/** Crashes of which the content may still be the cause. */
export function listOpenCrashes({ crashes, cleared }: PoisonRecord): string[] {
  return crashes.filter((crash) => !cleared.includes(crash));
}

/** Status that follows from a record. */
export function deriveStatus(record: PoisonRecord): PoisonStatus {
  const open = listOpenCrashes(record).length;
  if (open >= crashesToConvict) return "convicted";
  return open > 0 ? "suspect" : "unknown";
}

/** Adds a crash. */
export function addCrash(record: PoisonRecord, crash: string): PoisonRecord {
  return mergeRecords(record, { crashes: [crash], cleared: [] });
}

/** Clears all recorded crashes, unless they already convict. */
export function clearCrashes(record: PoisonRecord): PoisonRecord {
  return deriveStatus(record) === "convicted" ? record : resetCrashes(record);
}

/** Clears all recorded crashes, since the content has been shown to crash no engine. */
export function resetCrashes(record: PoisonRecord): PoisonRecord {
  if (listOpenCrashes(record).length === 0) return record;
  return { ...record, cleared: record.crashes };
}

/** Union of two records; returns the first one itself if the second adds nothing. */
export function mergeRecords(
  first: PoisonRecord,
  second: PoisonRecord,
): PoisonRecord {
  const crashes = mergeLists(first.crashes, second.crashes);
  const cleared = mergeLists(first.cleared, second.cleared);
  const same = crashes === first.crashes && cleared === first.cleared;
  if (same) return first;
  const merged = trimRecord({ crashes, cleared }, second.crashes);
  return isEqualRecord(merged, first) ? first : merged;
}

/** Checks a record from a row or from another node. */
export function parsePoisonRecord(
  value: unknown,
): Either<string, PoisonRecord> {
  const record = value as Partial<PoisonRecord> | null;
  if (
    typeof record !== "object" ||
    record === null ||
    !isCrashList(record.crashes) ||
    !isCrashList(record.cleared)
  )
    return Left("Poison record is malformed; delete the row to clear it");
  return Right({ crashes: record.crashes, cleared: record.cleared });
}

function mergeLists(
  first: readonly string[],
  second: readonly string[],
): readonly string[] {
  const added = second.filter((entry) => !first.includes(entry));
  if (added.length === 0) return first;
  return [...first, ...added].sort();
}

/** Drops crashes beyond the limit: those that were cleared first, the new ones last. */
function trimRecord(
  record: PoisonRecord,
  added: readonly string[],
): PoisonRecord {
  const { crashes, cleared } = record;
  if (crashes.length <= crashLimit) return record;
  const rank = (crash: string) => {
    if (cleared.includes(crash)) return 0;
    return added.includes(crash) ? 2 : 1;
  };
  const kept = [...crashes]
    .sort((a, b) => rank(a) - rank(b))
    .slice(-crashLimit);
  return {
    crashes: kept.sort(),
    cleared: cleared.filter((crash) => kept.includes(crash)),
  };
}

/** Whether two records hold the same crashes; the lists are sorted and have no repeats. */
function isEqualRecord(first: PoisonRecord, second: PoisonRecord): boolean {
  return (
    first.crashes.join() === second.crashes.join() &&
    first.cleared.join() === second.cleared.join()
  );
}

function isCrashList(value: unknown): value is readonly string[] {
  return (
    Array.isArray(value) &&
    value.length <= crashLimit &&
    value.every((entry) => typeof entry === "string")
  );
}
