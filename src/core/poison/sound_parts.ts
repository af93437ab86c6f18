import type { Millis } from "../clock.ts";
import type { Digest } from "../ids.ts";

/** Time for which a part counts as sound after a whole answer, in ms. */
const soundTime = 60_000;
/** Maximum number of parts; the ones whose latest answer is oldest are forgotten first. */
const maxParts = 8_192;

/** Parts of prompts that a node has seen answered, with the time of the latest answer, oldest first. */
export type SoundParts = Map<Digest, Millis>;

/** Records a whole answer to a request with these parts. */
export function recordSoundParts(
  sound: SoundParts,
  parts: readonly Digest[],
  now: Millis,
): void {
  for (const part of parts) {
    sound.delete(part);
    sound.set(part, now);
    if (sound.size <= maxParts) continue;
    const [oldest] = sound.keys();
    sound.delete(oldest as Digest);
  }
}

/** Whether a request with the part has been answered recently. */
export function isSoundPart(
  sound: SoundParts,
  part: Digest,
  now: Millis,
): boolean {
  const answeredAt = sound.get(part);
  return answeredAt !== undefined && now < answeredAt + soundTime;
}
