import { type Millis, millis } from "../clock.ts";
import type { AdapterKey, EngineId, NodeId, Region } from "../ids.ts";

/** `loadWait` of an engine that can load nothing until its owner reaches the table again, in ms. */
export const blockedLoadWait = millis(3_600_000);

/** What a node knows of an engine when it routes a request. */
export type EngineView = {
  readonly engine: EngineId;
  readonly region: Region;
  /** Owner of the engine; undefined while there is none. */
  readonly owner: NodeId | undefined;
  /** `leaving`, `down` and `slow` as last heard of from the owner. */
  readonly state: "ok" | "slow" | "leaving" | "down";
  readonly slots: number;
  readonly batch: number;
  readonly queued: number;
  readonly running: number;
  readonly held: ReadonlySet<AdapterKey>;
  /** Adapter versions being loaded. */
  readonly loading: ReadonlySet<AdapterKey>;
  /** Observed time to first token without queueing, in ms. */
  readonly timeToFirstToken: Millis;
  /** Observed gap between tokens, in ms. */
  readonly interTokenTime: Millis;
  /** Observed mean time that a request occupies a batch place, in ms. */
  readonly serviceTime: Millis;
  /** Wait until the owner can start another load; undefined when it did not say. */
  readonly loadWait?: Millis;
  /** Local time when this view was heard of. */
  readonly heardAt: Millis;
};
