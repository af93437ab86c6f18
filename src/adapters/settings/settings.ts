import { readFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import { type Refusal, refuse } from "../../core/results/refusal.ts";

const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    "must be lower-case letters, digits and dashes",
  );
const port = z.number().int().min(0).max(65_535);
const address = z.strictObject({ host: z.ipv4().or(z.ipv6()), port });
const peerAddress = z
  .string()
  .regex(/^[0-9a-fA-F.:[\]]+:\d+$/, "must be IP:PORT");
const url = z
  .string()
  .regex(/^http:\/\/[0-9a-fA-F.:[\]]+:\d+$/, "must be http://IP:PORT");

const megabyte = 1024 * 1024;
/** Least that all request bodies together may take, so that one of the largest size is served. */
const minBodyBytes = 4 * megabyte;

const engineSchema = z.strictObject({
  id: name,
  region: name,
  dataCentre: name,
  url,
  /** Number of adapter versions that the engine holds. */
  slots: z.number().int().min(1).max(1_000),
  /** Maximum number of requests that run concurrently. */
  batch: z.number().int().min(1).max(4_096),
  fencing: z.enum(["checked", "ignored"]),
});

const serviceSchema = z.strictObject({
  name,
  servers: z.array(z.strictObject({ id: name, region: name, url })).min(1),
  /** Calls that may run more than once; all others are never retried. */
  idempotent: z
    .array(
      z.strictObject({
        method: z.enum(["GET", "POST", "PUT", "DELETE"]),
        /** Prefix of the path below the service. */
        path: z.string().startsWith("/"),
      }),
    )
    .default([]),
});

const settingsSchema = z.strictObject({
  node: z.strictObject({ name, region: name, dataCentre: name }),
  listen: z.strictObject({ callers: address, peers: address }),
  /** Peer addresses of other nodes. */
  seeds: z.array(peerAddress).default([]),
  /** Path of the key file, relative to the settings file. */
  keyFile: z.string().min(1),
  /** Path of the organisation file, relative to the settings file; callers need no key without. */
  organisationFile: z.string().min(1).optional(),
  platform: z.strictObject({ table: url, objects: url, machines: url }),
  engines: z.array(engineSchema).min(1),
  services: z.array(serviceSchema).default([]),
  log: z
    .strictObject({
      level: z.enum(["debug", "info", "warn", "error"]).default("info"),
    })
    .default({ level: "info" }),
  lease: z
    .strictObject({
      /** Duration of a lease. */
      durationMs: z.number().int().min(1_000).max(60_000).default(6_000),
      /** Interval between renewals of a lease. */
      renewMs: z.number().int().min(200).max(20_000).default(2_000),
      /** Time before the end of a lease from which the owner sends no more orders. */
      marginMs: z.number().int().min(100).max(10_000).default(1_000),
    })
    .default({ durationMs: 6_000, renewMs: 2_000, marginMs: 1_000 }),
  stop: z
    .strictObject({
      /** Maximum time from SIGTERM or `drain` to the end of the node. */
      timeoutMs: z.number().int().min(5_000).max(3_600_000).default(60_000),
    })
    .default({ timeoutMs: 60_000 }),
  limits: z
    .strictObject({
      /** Maximum number of drafts and booking calls in flight at this node. */
      inFlight: z.number().int().min(1).default(4_096),
      /** Maximum number of drafts and booking calls in flight from one caller address. */
      inFlightPerCaller: z.number().int().min(1).default(1_024),
      /** Maximum length of the queue at the owner of an engine. */
      engineQueue: z.number().int().min(1).default(512),
      /** Maximum size of all request bodies together, in bytes. */
      bodyBytes: z
        .number()
        .int()
        .min(minBodyBytes)
        .default(64 * megabyte),
      /** Maximum number of open connections of callers. */
      connections: z.number().int().min(64).default(10_000),
    })
    .prefault({}),
});

/** Validated settings of one node. */
export type Settings = z.infer<typeof settingsSchema>;

/** Reads and validates a settings file; resolves its paths against the file's directory. */
export function readSettings(path: string): Either<Refusal, Settings> {
  let content: unknown;
  try {
    content = JSON.parse(readFileSync(path, "utf8"));
  } catch (error) {
    return Left(
      refuse(
        "invalidSettings",
        `Cannot read "${path}" as JSON: ${error instanceof Error ? error.message : "unknown error"}; give the path of a JSON settings file`,
      ),
    );
  }
  return parseSettings(content).map((settings) => ({
    ...settings,
    keyFile: resolve(dirname(path), settings.keyFile),
    ...(settings.organisationFile !== undefined && {
      organisationFile: resolve(dirname(path), settings.organisationFile),
    }),
  }));
}

/** Validates decoded settings; each error names the field, its value and a remedy. */
export function parseSettings(content: unknown): Either<Refusal, Settings> {
  const parsed = settingsSchema.safeParse(content);
  if (!parsed.success) {
    const errors = parsed.error.issues.map((issue) =>
      formatIssue(content, issue),
    );
    return Left(refuse("invalidSettings", errors.join("\n")));
  }
  const conflict = findConflict(parsed.data);
  return conflict === undefined
    ? Right(parsed.data)
    : Left(refuse("invalidSettings", conflict));
}

/** Formats a schema issue as one line with field, value and remedy. */
export function formatIssue(content: unknown, issue: z.core.$ZodIssue): string {
  const field = issue.path.join(".") || "(top level)";
  if (issue.code === "unrecognized_keys") {
    return `Field "${field}": unknown field ${issue.keys.map((key) => `"${key}"`).join(", ")}; remove it`;
  }
  const value = issue.path.reduce<unknown>(
    (inner, key) => (inner as Record<PropertyKey, unknown> | undefined)?.[key],
    content,
  );
  if (value === undefined) return `Field "${field}" is missing; add it`;
  return `Field "${field}": value ${JSON.stringify(value)?.slice(0, 80)}: ${issue.message}; correct the value`;
}

/** Validates constraints between fields; returns the first violation. */
function findConflict(settings: Settings): string | undefined {
  const duplicateEngine = findDuplicate(
    settings.engines.map((engine) => engine.id),
  );
  if (duplicateEngine !== undefined) {
    return `Field "engines": id "${duplicateEngine}" is used twice; give each engine its own id`;
  }
  const duplicateService = findDuplicate(
    settings.services.map((service) => service.name),
  );
  if (duplicateService !== undefined) {
    return `Field "services": name "${duplicateService}" is used twice; list its servers under one entry`;
  }
  const { durationMs, renewMs, marginMs } = settings.lease;
  if (renewMs + marginMs >= durationMs) {
    return `Field "lease": renewMs ${renewMs} plus marginMs ${marginMs} is not below durationMs ${durationMs}; lengthen the lease`;
  }
  return undefined;
}

function findDuplicate(values: readonly string[]): string | undefined {
  return values.find((value, index) => values.indexOf(value) !== index);
}
