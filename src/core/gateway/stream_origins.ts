import { type Millis, millis } from "../clock.ts";
import type { RequestId, ServiceName, SoftwareVersion } from "../ids.ts";
import { streamMemory } from "./software_versions.ts";

/** Time after the end of a whole stream in which its caller may still take it up, in ms. */
const wholeMemory = 3_000;
/** Maximum number of streams that a node remembers. */
const maxOrigins = 20_000;

/** The software version that began a stream. */
export type StreamOrigin = {
  readonly service: ServiceName;
  readonly version: SoftwareVersion;
  /** Time at which the stream is forgotten. */
  readonly until: Millis;
};

/** Origins of streams by the request that brought their first event; oldest first. */
export type StreamOrigins = Map<RequestId, StreamOrigin>;

/** Records which version began a stream. */
export function recordOrigin(
  origins: StreamOrigins,
  id: RequestId,
  {
    service,
    version,
    now,
  }: Omit<StreamOrigin, "until"> & { readonly now: Millis },
): void {
  origins.delete(id);
  origins.set(id, { service, version, until: millis(now + streamMemory) });
  for (const oldest of origins.keys()) {
    if (origins.size <= maxOrigins) return;
    origins.delete(oldest);
  }
}

/** Records that a stream has ended whole, so that it is hardly taken up again. */
export function recordWholeStream(
  origins: StreamOrigins,
  id: RequestId,
  now: Millis,
): void {
  const origin = origins.get(id);
  if (origin === undefined) return;
  const until = millis(Math.min(origin.until, now + wholeMemory));
  origins.set(id, { ...origin, until });
}

/** Forgets the streams that no caller takes up any more. */
export function removeOldOrigins(origins: StreamOrigins, now: Millis): void {
  for (const [id, { until }] of origins) if (now > until) origins.delete(id);
}
