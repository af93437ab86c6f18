import { createHash } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { CatalogEntry } from "../../core/config/catalog.ts";
import { findSheetFaults, type Sheet } from "../../core/config/sheet.ts";
import { brandNumber, brandString, type Revision } from "../../core/ids.ts";
import { type Refusal, refuse } from "../../core/results/refusal.ts";
import type { SheetCodec, SheetObject } from "../../ports/sheets.ts";
import { formatIssue } from "./settings.ts";

/** Maximum number of adapters in one sheet. */
const maxAdapters = 500_000;
/** Maximum numbers of versions and of daily busy spans of one adapter. */
const maxVersions = 64;
const maxBusySpans = 24;
/** Maximum number of schema errors reported for one sheet. */
const maxIssues = 20;
/** Leading bytes of a hash that enter the additive digest of a revision. */
const digestBytes = 16;

const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,99}$/,
    "must be up to 100 lower-case letters, digits, dots, dashes and underscores",
  );
const versionSchema = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,39}$/,
    "must be up to 40 letters, digits, dots, dashes and underscores",
  );
const hourSchema = z.number().finite();
const entrySchema = z.strictObject({
  name: nameSchema,
  versions: z.array(versionSchema).max(maxVersions),
  busy: z
    .array(z.strictObject({ from: hourSchema, to: hourSchema }))
    .max(maxBusySpans)
    .default([]),
  weight: z.number().finite().min(0).max(1e9).default(1),
});
const sheetSchema = z.strictObject({
  adapters: z.array(entrySchema).max(maxAdapters),
});

const compactEntrySchema = z.tuple([
  z.string(),
  z.array(z.string()),
  z.array(z.tuple([z.number(), z.number()])),
  z.number(),
]);
const objectSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("snapshot"),
    revision: z.number().int().min(0),
    adapters: z.array(compactEntrySchema),
  }),
  z.strictObject({
    kind: z.literal("delta"),
    revision: z.number().int().min(1),
    changed: z.array(compactEntrySchema),
    removed: z.array(z.string()),
  }),
]);

/** Validates a decoded morning sheet; each error names the path, its value and a remedy. */
export function parseSheet(content: unknown): Either<Refusal, Sheet> {
  const parsed = sheetSchema.safeParse(content);
  if (!parsed.success) {
    const issues = parsed.error.issues.slice(0, maxIssues);
    const errors = issues.map((issue) => formatIssue(content, issue));
    return Left(refuse("invalidSheet", errors.join("\n")));
  }
  const sheet: Sheet = {
    adapters: parsed.data.adapters.map((entry) => ({
      ...entry,
      name: brandString(entry.name),
      versions: entry.versions.map((version) => brandString(version)),
    })),
  };
  const errors = findSheetFaults(sheet).map(
    ({ path, value, remedy }) =>
      `Field "${path}": value ${JSON.stringify(value)}: ${remedy}`,
  );
  if (errors.length === 0) return Right(sheet);
  return Left(refuse("invalidSheet", errors.join("\n")));
}

function packEntry(entry: CatalogEntry): z.infer<typeof compactEntrySchema> {
  const busy = entry.busy.map(({ from, to }): [number, number] => [from, to]);
  return [entry.name, [...entry.versions], busy, entry.weight];
}

function unpackEntry(packed: z.infer<typeof compactEntrySchema>): CatalogEntry {
  const [name, versions, busy, weight] = packed;
  return {
    name: brandString(name),
    versions: versions.map((version) => brandString(version)),
    busy: busy.map(([from, to]) => ({ from, to })),
    weight,
  };
}

function encodeObject(object: SheetObject): Uint8Array {
  const { kind, revision } = object;
  const content =
    object.kind === "snapshot"
      ? { kind, revision, adapters: object.sheet.adapters.map(packEntry) }
      : {
          kind,
          revision,
          changed: object.delta.changed.map(packEntry),
          removed: object.delta.removed,
        };
  return Buffer.from(JSON.stringify(content));
}

function decodeObject(bytes: Uint8Array): SheetObject | undefined {
  let content: unknown;
  try {
    content = JSON.parse(Buffer.from(bytes).toString("utf8"));
  } catch {
    return undefined;
  }
  const parsed = objectSchema.safeParse(content);
  if (!parsed.success) return undefined;
  const { data } = parsed;
  const revision = brandNumber<Revision>(data.revision);
  if (data.kind === "snapshot") {
    const sheet = { adapters: data.adapters.map(unpackEntry) };
    return { kind: "snapshot", revision, sheet };
  }
  const delta = {
    base: brandNumber<Revision>(data.revision - 1),
    changed: data.changed.map(unpackEntry),
    removed: data.removed.map((name) => brandString<never>(name)),
  };
  return { kind: "delta", revision, delta };
}

function digestText(text: string): bigint {
  const digest = createHash("sha256").update(text).digest();
  return BigInt(`0x${digest.toString("hex", 0, digestBytes)}`);
}

/** Codec of sheets and their stored objects as JSON. */
export const sheetCodec: SheetCodec = {
  parse: parseSheet,
  format: ({ adapters }) => ({ adapters }),
  encode: encodeObject,
  decode: decodeObject,
  digestText,
};
