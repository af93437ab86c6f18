import { type Millis, millis } from "../clock.ts";

/** Pause before the second attempt to open an address, in ms; it doubles with each attempt. */
const firstPause = 100;
/** Longest pause between two attempts, in ms; an address that is free again is open this much later at most. */
const longestPause = 500;

/** What follows a failed attempt to open an address. */
export type ListenRetry =
  | { readonly kind: "retry"; readonly pause: Millis }
  | { readonly kind: "give-up" };

/** Decides what follows the failed attempt with a number, the first of which is 1. */
export function decideListenRetry(failure: {
  readonly attempt: number;
  /** Time since the first attempt. */
  readonly elapsed: Millis;
  /** Time within which the address must be open; undefined without a bound. */
  readonly timeout: Millis | undefined;
}): ListenRetry {
  const { attempt, elapsed, timeout } = failure;
  const pause = Math.min(longestPause, firstPause * 2 ** (attempt - 1));
  if (timeout === undefined) return { kind: "retry", pause: millis(pause) };
  if (elapsed >= timeout) return { kind: "give-up" };
  const left = timeout - elapsed;
  return { kind: "retry", pause: millis(Math.min(pause, left)) };
}

/** Remedies by the code of the system's error. */
const remedies: { readonly [code: string]: string } = {
  EADDRINUSE:
    "Another process or connection holds the address; end it, or change the port in the settings",
  EADDRNOTAVAIL:
    "The machine does not have the IP address; correct it in the settings",
  EACCES:
    "The process may not use the port; choose one above 1023 in the settings",
};
const defaultRemedy = "Correct the address in the settings";

/** What an operator can do about an address that cannot be opened. */
export function findListenRemedy(code: string | undefined): string {
  return remedies[code ?? ""] ?? defaultRemedy;
}
