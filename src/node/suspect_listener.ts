import type { Digest, EngineId } from "../core/ids.ts";

/** A crash of an engine, with the digests of the content that was running on it. */
export type EngineCrash = {
  readonly engine: EngineId;
  readonly boot: string;
  readonly digests: readonly Digest[];
};

/** Receives reports of content that may have crashed an engine, and of content that completed alone. */
export type SuspectListener = {
  suspect(crash: EngineCrash): void;
  clear(digest: Digest): void;
};
