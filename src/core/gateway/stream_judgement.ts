import type { Millis } from "../clock.ts";
import type { SoftwareVersion } from "../ids.ts";
import type { Sighting, SightingSource } from "./incarnation_sightings.ts";
import type { BackendServer } from "./servers.ts";

/**
 * Time within which a server that starts has registered, in ms; a server that
 * states its start in its entry only is judged by its absence.
 */
const startTime = 500;

/** The server that a stream began at, as it was known when the request was sent. */
export type StreamBegin = {
  readonly server: BackendServer;
  /** Time at which the connection of the stream was opened. */
  readonly openedAt: Millis;
};

/** How it is known which software version began a stream. */
export type OriginProof = SightingSource | "same-version" | "silence";

/** Which version began a stream, or that it stays unknown; undefined until that shows. */
export type OriginJudgement =
  | {
      readonly kind: "settled";
      readonly version: SoftwareVersion;
      readonly proof: OriginProof;
    }
  /** The server has started again with another version, and either may have begun the stream. */
  | { readonly kind: "lost" }
  | undefined;

/** Judges the origin of a stream by what is known of its server now. */
export function judgeOrigin(
  begin: StreamBegin,
  known: {
    /** Incarnation of the server that was heard of last. */
    readonly sighting: Sighting | undefined;
    /** Entry of the server now. */
    readonly current: BackendServer | undefined;
    /** Start of an incarnation other than those of both entries that ran after the connection was opened. */
    readonly interimBorn: number | undefined;
    /** Only the entry tells which incarnation of the server runs. */
    readonly isSilent: boolean;
    /** Time for which the node has seen all changes of the entries. */
    readonly viewTime: Millis;
  },
): OriginJudgement {
  const { server, openedAt } = begin;
  const { sighting, current, interimBorn, isSilent, viewTime } = known;
  const settle = (version: SoftwareVersion | undefined, proof: OriginProof) =>
    version === undefined
      ? ({ kind: "lost" } as const)
      : ({ kind: "settled", version, proof } as const);
  const hasRunSince = sighting !== undefined && sighting.aliveAt >= openedAt;
  if (hasRunSince && sighting.born === server.born)
    return settle(server.softwareVersion, sighting.source);
  if (current === undefined) return undefined;
  if (current.born === server.born) {
    const hasNotStarted = viewTime >= openedAt + startTime;
    return isSilent && hasNotStarted
      ? settle(server.softwareVersion, "silence")
      : undefined;
  }
  // The version of an incarnation that came and went between the entries is not known.
  if (interimBorn !== undefined && interimBorn !== current.born)
    return { kind: "lost" };
  if (current.softwareVersion === server.softwareVersion)
    return settle(server.softwareVersion, "same-version");
  // The process that accepted the connection is not older than what was heard of before.
  const isLater = sighting !== undefined && sighting.seenAt <= openedAt;
  if (!isLater || sighting.born !== current.born) return { kind: "lost" };
  return hasRunSince
    ? settle(current.softwareVersion, sighting.source)
    : undefined;
}
