import { type Millis, millis } from "../clock.ts";
import type { AdapterKey, EngineId, NodeId, Region } from "../ids.ts";

/** `loadWait` of an engine that cannot load adapters until its owner reaches the table again, in ms. */
export const blockedLoadWait = millis(3_600_000);

/** State of an engine as known to a node that routes requests. */
export type EngineView = {
  readonly engine: EngineId;
  readonly region: Region;
  /** Owner of the engine; undefined while there is none. */
  readonly owner: NodeId | undefined;
  /** State as last reported by the owner. */
  readonly state: "ok" | "slow" | "leaving" | "down";
  readonly slots: number;
  readonly batch: number;
  readonly queued: number;
  readonly running: number;
  readonly held: ReadonlySet<AdapterKey>;
  /** Adapter versions being loaded. */
  readonly loading: ReadonlySet<AdapterKey>;
  /** Observed time to the first token without queueing, in ms. */
  readonly timeToFirstToken: Millis;
  /** Observed time between tokens, in ms. */
  readonly interTokenTime: Millis;
  /** Observed mean time that a request occupies batch capacity, in ms. */
  readonly serviceTime: Millis;
  /** Wait until the owner can start another load, in ms; undefined if it was not reported. */
  readonly loadWait?: Millis;
  /** Local time at which this view was received. */
  readonly heardAt: Millis;
};
