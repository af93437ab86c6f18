import type { Millis } from "../clock.ts";
import type { Digest } from "../ids.ts";

/** Time for which a unit counts as sound after a whole answer, in ms. */
const soundTime = 60_000;
/** Maximum number of units; the ones whose latest answer is oldest are forgotten first. */
const maxUnits = 8_192;

/** Parts of prompts and whole requests that a node has seen answered, with the time of the latest answer, oldest first. */
export type SoundUnits = Map<Digest, Millis>;

/** Records a whole answer to a request with these units. */
export function recordSoundUnits(
  sound: SoundUnits,
  units: readonly Digest[],
  now: Millis,
): void {
  for (const unit of units) {
    sound.delete(unit);
    sound.set(unit, now);
    if (sound.size <= maxUnits) continue;
    const [oldest] = sound.keys();
    sound.delete(oldest as Digest);
  }
}

/** Whether a request with the unit has been answered recently. */
export function isSoundUnit(
  sound: SoundUnits,
  unit: Digest,
  now: Millis,
): boolean {
  const answeredAt = sound.get(unit);
  return answeredAt !== undefined && now < answeredAt + soundTime;
}
