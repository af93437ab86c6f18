import { type Calm, contactTime } from "./calm.ts";
import type { Violation } from "./observations.ts";
import type { AttemptEnd } from "./request_log.ts";

/** Streams with fewer at either time are not judged. */
const minStreams = 20;
/** Share of the usual one at which sound streams must begin at least. */
const minShare = 0.5;

/** Time from when a part must be known to the last request with it. */
type AttackWindow = {
  readonly name: string;
  readonly from: number;
  readonly to: number;
  /** First part of its prompts. */
  readonly beginning: string;
};

/** A part of prompts that crashes servers, as far as it matters to sound streams. */
type CrashingPart = {
  readonly name: string;
  readonly toleratedCrashes: number;
  readonly crashes: readonly number[];
};

/** First tries of sound streams that begin less than half as often while prompts with the same first part crash servers. */
export function findWithheldStreams(
  parts: readonly CrashingPart[],
  ends: readonly AttemptEnd[],
  { calm, servers }: { calm: Calm; servers: readonly string[] },
): Violation[] {
  const firstTries = ends.filter(
    ({ kind, isCrashing, isTakeUp, machine, sentAt }) =>
      kind === "stream" &&
      !isCrashing &&
      isTakeUp !== true &&
      calm.hasLasted([machine, "store"], sentAt),
  );
  const usual = firstTries.filter(({ sentAt }) =>
    calm.hasLasted(servers, sentAt),
  );
  return parts
    .flatMap((part) => findAttackWindow(part, ends) ?? [])
    .flatMap(({ name, from, to, beginning }) => {
      const hasBeginning = ({ parts = [] }: AttemptEnd) =>
        parts[0] === beginning;
      const alike = firstTries.filter(hasBeginning);
      const during = alike.filter(
        ({ sentAt }) => sentAt >= from && sentAt <= to,
      );
      const outside = usual.filter(hasBeginning);
      if (during.length < minStreams || outside.length < minStreams) return [];
      if (shareOf(during) >= minShare * shareOf(outside)) return [];
      const detail = `${name}: ${countBegun(during)} of ${during.length} begun, ${countBegun(outside)} of ${outside.length} at other times`;
      return [{ rule: "sound streams withheld", detail }];
    });
}

function findAttackWindow(
  { name, crashes, toleratedCrashes }: CrashingPart,
  ends: readonly AttemptEnd[],
): AttackWindow | undefined {
  const last = crashes[Math.min(toleratedCrashes, crashes.length) - 1];
  const deadly = ends.filter(({ parts = [] }) => parts.includes(name));
  const [first] = deadly;
  if (last === undefined || first === undefined) return undefined;
  return {
    name,
    from: last + 2 * contactTime,
    to: Math.max(...deadly.map(({ sentAt }) => sentAt)),
    beginning: first.parts?.[0] ?? "",
  };
}

function hasBegun({ status }: AttemptEnd): boolean {
  return status === 200;
}

function countBegun(ends: readonly AttemptEnd[]): number {
  return ends.filter(hasBegun).length;
}

function shareOf(ends: readonly AttemptEnd[]): number {
  return countBegun(ends) / ends.length;
}
