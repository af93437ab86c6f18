import { resultCodes } from "../core/results/codes.ts";
import type { Refusal } from "../core/results/refusal.ts";

/** Exit status of a command that was refused or failed. */
export const failureStatus = 1;

/** Prints a refusal with its code and remedy to standard error and exits. */
export function exitWithRefusal(refusal: Refusal): never {
  const { number, remedy } = resultCodes[refusal.code];
  exitWithMessage(
    `${number} ${refusal.code}: ${refusal.detail}\nRemedy: ${remedy}`,
  );
}

/** Prints a message to standard error and exits. */
export function exitWithMessage(message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(failureStatus);
}

/** Prints a line to standard output. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}
