import { type Millis, millis } from "../../../core/clock.ts";
import {
  brandString,
  type MachineName,
  type RequestId,
  type RowKey,
  type ServiceName,
  type SoftwareVersion,
} from "../../../core/ids.ts";
import type { Json, Row } from "../../../ports/table.ts";

/** Key prefix of the rows of all machines. */
export const streamPrefix = "streams/";
/** Maximum number of streams in one row, which keeps it below the size that the table allows. */
const maxStreams = 1_000;

/** Streams of one service that one node passed on while several versions served. */
export type ServiceStreams = {
  readonly service: ServiceName;
  /** Software versions that the node has seen lately. */
  readonly versions: readonly SoftwareVersion[];
  /** Requests that brought the first event of a stream, with the version that sent it; newest last. */
  readonly streams: readonly (readonly [RequestId, SoftwareVersion])[];
};

/** Row of one process of a node. */
export type StreamRow = {
  /** Wall-clock time of the write. */
  readonly writtenAt: Millis;
  readonly services: readonly ServiceStreams[];
};

/** Key prefix of the rows of one machine. */
export function streamPrefixOf(machine: MachineName): string {
  return `${streamPrefix}${machine}/`;
}

/** Key of the row of one process; its successor leaves the row to the streams that were cut off. */
export function createStreamKey(machine: MachineName, process: string): RowKey {
  return brandString(`${streamPrefixOf(machine)}${process}`);
}

export function encodeStreamRow({ writtenAt, services }: StreamRow): Json {
  return {
    writtenAt,
    services: services.map(({ service, versions, streams }) => ({
      service,
      versions: [...versions],
      streams: streams.slice(-maxStreams).map(([id, version]) => [id, version]),
    })),
  };
}

/** Decodes the rows with streams; an entry that cannot be read names no stream. */
export function decodeStreamRow({ key, value }: Row): StreamRow | undefined {
  if (!key.startsWith(streamPrefix)) return undefined;
  const { writtenAt, services } = toObject(value);
  if (typeof writtenAt !== "number" || !Array.isArray(services))
    return undefined;
  return {
    writtenAt: millis(writtenAt),
    services: services.flatMap((entry) => decodeService(toObject(entry))),
  };
}

function decodeService({
  service,
  versions,
  streams,
}: Record<string, unknown>): ServiceStreams[] {
  if (typeof service !== "string" || service === "") return [];
  if (!Array.isArray(versions) || !Array.isArray(streams)) return [];
  const pairs = streams.filter(
    (pair) => Array.isArray(pair) && pair.length === 2 && pair.every(isText),
  );
  return [
    {
      service: brandString(service),
      versions: versions.filter(isText).map((text) => brandString(text)),
      streams: pairs.map(([id, version]) => [
        brandString(id),
        brandString(version),
      ]),
    },
  ];
}

function isText(value: unknown): value is string {
  return typeof value === "string" && value !== "";
}

function toObject(value: unknown): Record<string, unknown> {
  const isObject =
    typeof value === "object" && value !== null && !Array.isArray(value);
  return isObject ? (value as Record<string, unknown>) : {};
}
