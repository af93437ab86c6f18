import { z } from "zod";
import { type Millis, millis } from "../../core/clock.ts";
import type { AdapterKey, EngineId, NodeId, Region } from "../../core/ids.ts";
import { hashText } from "../../core/membership/state.ts";
import type { JsonValue } from "../../core/membership/types.ts";
import type { EngineView } from "../../core/routing/view.ts";

const states = ["ok", "slow", "leaving", "down"] as const;
const countSchema = z.number().int().min(0);
/** Maximum number of adapter versions in one list of a view. */
const maxAdapters = 1_000;

const viewSchema = z.tuple([
  z
    .number()
    .int()
    .min(0)
    .max(states.length - 1),
  countSchema,
  countSchema,
  countSchema,
  countSchema,
  countSchema,
  countSchema,
  countSchema,
  z.array(countSchema).max(maxAdapters),
  z.array(countSchema).max(maxAdapters),
  countSchema,
]);

/** Inter-token times are sent in tenths of a millisecond, which are precise enough and fit in one or two bytes. */
const interTokenTimeScale = 10;

/** Encodes a view compactly; adapter versions are sent as 32-bit hashes of their keys. */
export function encodeView(view: EngineView): JsonValue {
  return [
    states.indexOf(view.state),
    view.slots,
    view.batch,
    view.queued,
    view.running,
    Math.round(view.timeToFirstToken),
    Math.round(view.interTokenTime * interTokenTimeScale),
    Math.round(view.serviceTime),
    [...view.held].map(hashText),
    [...view.loading].map(hashText),
    Math.round(view.loadWait ?? 0),
  ];
}

/** Values of a decoded view that its encoding does not contain. */
export type ViewContext = {
  readonly engine: EngineId;
  readonly owner: NodeId;
  readonly region: Region;
  readonly heardAt: Millis;
  /** Finds the adapter version with this hash in the configuration in force. */
  readonly findAdapter: (hash: number) => AdapterKey | undefined;
};

/** Decodes a compact view; undefined if it is malformed. */
export function decodeView(
  value: unknown,
  context: ViewContext,
): EngineView | undefined {
  const parsed = viewSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const [
    state,
    slots,
    batch,
    queued,
    running,
    firstToken,
    scaledInterTokenTime,
    service,
  ] = parsed.data;
  const { findAdapter, ...rest } = context;
  const collect = (hashes: readonly number[]) =>
    new Set(hashes.map(findAdapter).filter((key) => key !== undefined));
  return {
    ...rest,
    state: states[state] as EngineView["state"],
    slots,
    batch,
    queued,
    running,
    held: collect(parsed.data[8]),
    loading: collect(parsed.data[9]),
    loadWait: millis(parsed.data[10]),
    timeToFirstToken: millis(firstToken),
    interTokenTime: millis(scaledInterTokenTime / interTokenTimeScale),
    serviceTime: millis(service),
  };
}
