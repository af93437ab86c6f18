import { type Millis, millis } from "../core/clock.ts";
import type { CallerResult } from "./oracle.ts";

/** Deadline of calls and drafts without the option `within`, in ms. */
const defaultDeadline = 5_000;

/** Thrown when a scenario is malformed, or an expectation or guarantee does not hold. */
export class ScenarioError extends Error {}

/** One line of a scenario. */
export type Step = {
  readonly verb: string;
  readonly args: readonly string[];
  readonly options: ReadonlyMap<string, string>;
  readonly label: string | undefined;
};

/** Words that `expect` accepts for a caller's result. */
export function describeResult(
  result: CallerResult | undefined,
): readonly string[] {
  switch (result?.kind) {
    case undefined:
      return ["pending"];
    case "broken":
      return ["broken"];
    case "answer":
      return result.replayed ? ["answered", "replayed"] : ["answered", "first"];
    case "refused":
      return ["refused", result.code, result.outcome];
  }
}

/** Parses one line; undefined when it is empty or a comment. */
export function parseStep(line: string): Step | undefined {
  const words = (line.split("//", 1)[0] ?? "").trim().split(/\s+/);
  const [verb = "", ...rest] = words;
  if (verb === "" || verb.startsWith("#")) return undefined;
  const at = rest.indexOf("as");
  const label = at < 0 ? undefined : rest[at + 1];
  const unlabelled = at < 0 ? rest : rest.toSpliced(at, 2);
  const options = unlabelled.filter((word) => word.includes("="));
  return {
    verb,
    args: unlabelled.filter((word) => !word.includes("=")),
    options: new Map(
      options.map((word) => {
        const [name = "", value = ""] = word.split("=", 2);
        return [name, value] as const;
      }),
    ),
    label,
  };
}

/** Parses a duration such as `250ms`, `5s`, `2m` or `1h`. */
export function parseDuration(word: string | undefined): Millis {
  const match = /^(\d+)(ms|s|m|h)$/.exec(word ?? "");
  if (match === null) throw new ScenarioError(`"${word}" is not a duration`);
  const units = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000 };
  const unit = units[match[2] as keyof typeof units];
  return millis(Number(match[1]) * unit);
}

/** Parses the option `within`, the deadline of a call. */
export function parseDeadline(options: ReadonlyMap<string, string>): Millis {
  const value = options.get("within");
  return value === undefined ? millis(defaultDeadline) : parseDuration(value);
}

/** Narrows a word to one of the names. */
export function isOneOf<Name extends string>(
  names: readonly Name[],
  name: string,
): name is Name {
  return (names as readonly string[]).includes(name);
}

/** Concatenates the token texts of complete server-sent events. */
export function parseTokens(bytes: Uint8Array): string {
  const events = Buffer.from(bytes).toString().split("\n\n");
  return events
    .filter((event) => event.startsWith("data: {"))
    .map((event) => JSON.parse(event.slice("data: ".length)))
    .map((event) => event.choices[0].text as string)
    .join("");
}
