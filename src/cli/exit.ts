import { resultCodes } from "../core/results/codes.ts";
import type { Refusal } from "../core/results/refusal.ts";

/** Exit status of a call that was refused or failed. */
export const failureStatus = 1;

/** Prints a refusal with code and remedy on standard error and ends the program. */
export function exitWithRefusal(refusal: Refusal): never {
  const { number, remedy } = resultCodes[refusal.code];
  exitWithMessage(
    `${number} ${refusal.code}: ${refusal.detail}\nRemedy: ${remedy}`,
  );
}

/** Prints a message on standard error and ends the program. */
export function exitWithMessage(message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(failureStatus);
}

/** Writes a line on standard output. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}
