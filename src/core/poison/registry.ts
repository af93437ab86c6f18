import type { Millis } from "../clock.ts";
import type { Decide, Decision } from "../decision.ts";
import type { Digest, RequestId } from "../ids.ts";
import type { EventName } from "../observe/events.ts";
import type { MetricName } from "../observe/metrics.ts";
import { type Refusal, refuse } from "../results/refusal.ts";
import { isTrialCrash, type Probation } from "./probation.ts";
import {
  addCrash,
  clearCrashes,
  crashesToConvict,
  crashLimit,
  deriveStatus,
  emptyRecord,
  listOpenCrashes,
  mergeRecords,
  type PoisonRecord,
  type PoisonStatus,
  resetCrashes,
} from "./record.ts";
import { isRequestDigest } from "./units.ts";

/** Record of one content digest at one node. */
export type PoisonEntry = Probation & {
  readonly record: PoisonRecord;
  /** Time since which it has had open crashes without a break. */
  readonly suspectedAt: Millis;
  /** Number of moments in that time at which crashes were reported, and the latest of them. */
  readonly crashMoments: number;
  readonly crashedAt: Millis;
};

/** Records of content that may crash engines, at one node. */
export type PoisonState = {
  /** Least recently changed first. */
  readonly entries: Map<Digest, PoisonEntry>;
};

/** Event that the poison registry handles. */
export type PoisonEvent =
  /** Content with these digests was running on an engine when it crashed. */
  | {
      readonly type: "crashed";
      /** Id of the crash from `formatCrashId`. */
      readonly crash: string;
      readonly digests: readonly Digest[];
    }
  /** Suspect content ran alone and completed. */
  | { readonly type: "completed-alone"; readonly digest: Digest }
  /** Content that crashes every engine that runs it was run without a crash. */
  | { readonly type: "proven-sound"; readonly digest: Digest }
  /**
   * A record was received from another node or read from the table; one from
   * `broadcast` or a followed `row` reaches all nodes and the table without this node.
   */
  | {
      readonly type: "record-received";
      readonly digest: Digest;
      readonly record: PoisonRecord;
      readonly from: "gossip" | "table" | "broadcast" | "row";
    }
  /** Drops old records; sent every few minutes. */
  | { readonly type: "sweep" };

/** Publishes a record to other nodes. */
export type PublishCommand = {
  readonly type: "publish-record";
  readonly digest: Digest;
  readonly record: PoisonRecord;
  /** The few nodes that put together the crashes of a whole request, or all nodes. */
  readonly audience: "keepers" | "all";
};

/** Command that the registry's owner carries out. */
export type PoisonCommand =
  | PublishCommand
  /** Writes the row of convicted content, merged with the stored record. */
  | {
      readonly type: "write-row";
      readonly digest: Digest;
      readonly record: PoisonRecord;
    }
  /** Removes the row of content that is no longer convicted. */
  | { readonly type: "remove-row"; readonly digest: Digest }
  | { readonly type: "count"; readonly name: MetricName }
  | {
      readonly type: "record";
      readonly event: EventName;
      readonly detail: Digest;
      readonly requestId?: RequestId;
    };

/** Maximum number of records; beyond it suspects are dropped first, oldest first. */
export const poisonLimit = 10_000;
/** Time without a change after which a record and its row are dropped, in ms. */
const retention = 24 * 3_600_000;

/** Time within which crashes count as one moment, in ms: engines that are lost together had no cause in a request. */
const momentTime = 250;

export function createPoisonState(): PoisonState {
  return { entries: new Map() };
}

/** Status of the content with this digest. */
export function statusOf(state: PoisonState, digest: Digest): PoisonStatus {
  const entry = state.entries.get(digest);
  return entry === undefined ? "unknown" : deriveStatus(entry.record);
}

/** Refusal of convicted content; undefined for other content. */
export function refusePoison(
  state: PoisonState,
  digest: Digest,
): Refusal | undefined {
  if (statusOf(state, digest) !== "convicted") return undefined;
  return refuse("poisonRequest", `Content ${digest} crashed two engines`, {
    outcome: "not-run",
  });
}

/** Updates the records, and decides what is published and what is stored. */
export const decidePoison: Decide<PoisonState, PoisonEvent, PoisonCommand> = (
  state,
  event,
  now,
) => {
  switch (event.type) {
    case "crashed":
      return {
        state,
        commands: event.digests.flatMap((digest) =>
          change(state, {
            digest,
            now,
            update: (record) => addCrash(record, event.crash),
          }),
        ),
      };
    case "completed-alone":
    case "proven-sound": {
      const { type, digest } = event;
      if (!state.entries.has(digest)) return { state, commands: [] };
      const update = type === "proven-sound" ? resetCrashes : clearCrashes;
      return { state, commands: change(state, { digest, now, update }) };
    }
    case "record-received":
      return mergeRemoteRecord(state, event, now);
    case "sweep":
      return { state, commands: sweep(state, now) };
  }
};

function mergeRemoteRecord(
  state: PoisonState,
  event: Extract<PoisonEvent, { type: "record-received" }>,
  now: Millis,
): Decision<PoisonState, PoisonCommand> {
  const { digest, from } = event;
  const isStored = from === "table" || from === "row";
  const commands = change(state, {
    digest,
    now,
    update: (record) => mergeRecords(record, event.record),
    trialCrashes: isStored ? listFurtherCrashes(event.record) : [],
  });
  if (from === "broadcast" || from === "row") {
    const isLocal = ({ type }: PoisonCommand) =>
      type === "record" || type === "count";
    return { state, commands: commands.filter(isLocal) };
  }
  // A record read from the table is already stored; the row is written only if the merge adds to it.
  const isKnown =
    from === "table" &&
    mergeRecords(event.record, recordOf(state, digest)) === event.record;
  return {
    state,
    commands: isKnown
      ? commands.filter((command) => command.type !== "write-row")
      : commands,
  };
}

function recordOf(state: PoisonState, digest: Digest): PoisonRecord {
  return state.entries.get(digest)?.record ?? emptyRecord;
}

/** Changes the record of one content digest and returns the commands that follow. */
function change(
  state: PoisonState,
  options: {
    digest: Digest;
    now: Millis;
    update: (record: PoisonRecord) => PoisonRecord;
    /** Crashes under trials of content that was unknown; none if omitted. */
    trialCrashes?: readonly string[];
  },
): PoisonCommand[] {
  const { digest, now, update, trialCrashes = [] } = options;
  const before = recordOf(state, digest);
  const record = update(before);
  if (record === before) return [];
  const known = state.entries.get(digest);
  const entry = known
    ? updateEntry(known, record, now)
    : createEntry({ digest, record, now, trialCrashes });
  state.entries.delete(digest);
  state.entries.set(digest, entry);
  const status = deriveStatus(record);
  const wasConvicted = deriveStatus(before) === "convicted";
  const isForAll =
    !isRequestDigest(digest) || status === "convicted" || wasConvicted;
  const audience = isForAll ? "all" : "keepers";
  const commands: PoisonCommand[] = [
    { type: "publish-record", digest, record, audience },
  ];
  if (status === "convicted" || wasConvicted)
    commands.push({ type: "write-row", digest, record });
  if (status === "convicted") {
    if (!wasConvicted)
      commands.push({
        type: "record",
        event: "poisonConvicted",
        detail: digest,
      });
  } else if (status === "suspect" && deriveStatus(before) === "unknown") {
    commands.push({ type: "record", event: "poisonSuspected", detail: digest });
  }
  return [...commands, ...enforceLimit(state)];
}

/** Crashes beyond those that convict; a process that starts takes them for those of trials. */
function listFurtherCrashes(record: PoisonRecord): string[] {
  return listOpenCrashes(record).slice(crashesToConvict);
}

/** Entry of content without open crashes before. */
function createEntry({
  now,
  ...fields
}: Pick<PoisonEntry, "digest" | "record" | "trialCrashes"> & {
  now: Millis;
}): PoisonEntry {
  const since = { suspectedAt: now, crashMoments: 1, crashedAt: now };
  return { ...fields, ...since, changedAt: now };
}

/** Entry with a changed record. */
function updateEntry(
  known: PoisonEntry,
  record: PoisonRecord,
  now: Millis,
): PoisonEntry {
  const openBefore = listOpenCrashes(known.record).length;
  const { digest } = known;
  if (openBefore === 0)
    return createEntry({ digest, record, now, trialCrashes: [] });
  const added = listOpenCrashes(record).filter(
    (crash) => !known.record.crashes.includes(crash),
  );
  if (added.length === 0) return { ...known, record, changedAt: now };
  const isOfTrial =
    deriveStatus(known.record) === "convicted" && isTrialCrash(known, now);
  const trialCrashes = isOfTrial
    ? [...known.trialCrashes, ...added.slice(-1)].slice(-crashLimit)
    : known.trialCrashes;
  const changed = { ...known, record, changedAt: now, trialCrashes };
  if (now < known.crashedAt + momentTime) return changed;
  return { ...changed, crashMoments: known.crashMoments + 1, crashedAt: now };
}

function enforceLimit(state: PoisonState): PoisonCommand[] {
  if (state.entries.size <= poisonLimit) return [];
  state.entries.delete(selectEvicted(state));
  return [{ type: "count", name: "poison_records_dropped_total" }];
}

/** Oldest content that is not convicted, otherwise the oldest of all. */
function selectEvicted({ entries }: PoisonState): Digest {
  for (const [digest, { record }] of entries)
    if (deriveStatus(record) !== "convicted") return digest;
  return entries.keys().next().value as Digest;
}

function sweep(state: PoisonState, now: Millis): PoisonCommand[] {
  const commands: PoisonCommand[] = [];
  for (const [digest, { changedAt, record }] of state.entries) {
    if (now - changedAt < retention) continue;
    state.entries.delete(digest);
    if (deriveStatus(record) === "convicted")
      commands.push({ type: "remove-row", digest });
  }
  return commands;
}
