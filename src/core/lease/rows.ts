import {
  brandNumber,
  brandString,
  type DataCentre,
  type EngineId,
  type FencingNumber,
  type LeaseId,
  type NodeId,
  type RowKey,
} from "../ids.ts";

/** Row `session/NODE`: its version changes with every renewal of the node's lease. */
export type SessionRow = {
  readonly lease: LeaseId;
  readonly dataCentre: DataCentre;
};

/** Row `engine/ID`: owner of an engine; the owner is null after a planned stop without successor. */
export type EngineRow = {
  readonly owner: NodeId | null;
  readonly lease: LeaseId | null;
  readonly fence: FencingNumber;
  /** The previous owner stopped sending orders before it released the engine. */
  readonly handed: boolean;
};

/** Any JSON object as the table returns it. */
type Fields = { readonly [key: string]: unknown };

/** A row of the table, as far as this module reads it. */
export type StoredRow = {
  readonly version: number;
  readonly value: unknown;
  readonly attempt: string;
};

export const sessionPrefix = "session/";
export const enginePrefix = "engine/";

/** Key of a node's session row. */
export function sessionKey(node: NodeId): RowKey {
  return brandString(`${sessionPrefix}${node}`);
}

/** Key of an engine's ownership row. */
export function engineKey(engine: EngineId): RowKey {
  return brandString(`${enginePrefix}${engine}`);
}

/** Reads a session row; undefined if it is malformed. */
export function readSessionRow(value: unknown): SessionRow | undefined {
  const fields = value as Fields | null;
  if (typeof fields?.lease !== "string") return undefined;
  if (typeof fields.dataCentre !== "string") return undefined;
  return {
    lease: brandString(fields.lease),
    dataCentre: brandString(fields.dataCentre),
  };
}

/** Reads an engine row; undefined if it is malformed. */
export function readEngineRow(value: unknown): EngineRow | undefined {
  const fields = value as Fields | null;
  if (typeof fields?.fence !== "number") return undefined;
  const owner = typeof fields.owner === "string" ? fields.owner : null;
  const lease = typeof fields.lease === "string" ? fields.lease : null;
  return {
    owner: owner as NodeId | null,
    lease: lease as LeaseId | null,
    fence: brandNumber(fields.fence),
    handed: fields.handed === true,
  };
}
