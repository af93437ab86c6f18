import { type Millis, millis } from "../core/clock.ts";
import type { CallerResult } from "./oracle.ts";

/** Deadlines of calls and drafts that name none, in ms. */
const defaultWithin = 5_000;

/** Thrown when a scenario is malformed or what it expects is not so. */
export class ScenarioError extends Error {}

/** One line of a scenario. */
export type Step = {
  readonly verb: string;
  readonly args: readonly string[];
  readonly options: ReadonlyMap<string, string>;
  readonly label: string | undefined;
};

/** Words that describe what a caller was told. */
export function describeResult(
  told: CallerResult | undefined,
): readonly string[] {
  switch (told?.kind) {
    case undefined:
      return ["pending"];
    case "broken":
      return ["broken"];
    case "answer":
      return told.replayed ? ["answered", "replayed"] : ["answered", "first"];
    case "refused":
      return ["refused", told.code, told.outcome];
  }
}

/** Reads one line; undefined when it is empty or a comment. */
export function parseStep(line: string): Step | undefined {
  const words = (line.split("//", 1)[0] ?? "").trim().split(/\s+/);
  const [verb = "", ...rest] = words;
  if (verb === "" || verb.startsWith("#")) return undefined;
  const at = rest.indexOf("as");
  const label = at < 0 ? undefined : rest[at + 1];
  const plain = at < 0 ? rest : rest.toSpliced(at, 2);
  const options = plain.filter((word) => word.includes("="));
  return {
    verb,
    args: plain.filter((word) => !word.includes("=")),
    options: new Map(
      options.map((word) => {
        const [name = "", value = ""] = word.split("=", 2);
        return [name, value] as const;
      }),
    ),
    label,
  };
}

/** Reads a duration such as `250ms`, `5s`, `2m` or `1h`. */
export function parseDuration(word: string | undefined): Millis {
  const match = /^(\d+)(ms|s|m|h)$/.exec(word ?? "");
  if (match === null) throw new ScenarioError(`"${word}" is no duration`);
  const units = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000 };
  const unit = units[match[2] as keyof typeof units];
  return millis(Number(match[1]) * unit);
}

/** Reads the deadline of a call. */
export function parseDeadline(options: ReadonlyMap<string, string>): Millis {
  const within = options.get("within");
  return within === undefined ? millis(defaultWithin) : parseDuration(within);
}

/** Whether a word is one of the names. */
export function isOneOf<Name extends string>(
  names: readonly Name[],
  name: string,
): name is Name {
  return (names as readonly string[]).includes(name);
}

/** Text of the tokens in whole server-sent events. */
export function parseTokens(bytes: Uint8Array): string {
  const events = Buffer.from(bytes).toString().split("\n\n");
  return events
    .filter((event) => event.startsWith("data: {"))
    .map((event) => JSON.parse(event.slice("data: ".length)))
    .map((event) => event.choices[0].text as string)
    .join("");
}
