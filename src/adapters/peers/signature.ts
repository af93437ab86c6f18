import type { Clock } from "../../core/clock.ts";
import { computeDigest, createToken, type Keyring } from "../keys/keyring.ts";

/** Maximum accepted difference between the clocks of sender and receiver, in ms. */
const maxClockSkewMillis = 30_000;
/** Maximum number of nonces kept to detect replays. */
const maxNonces = 200_000;

/** Header with the time, nonce and signature of a message. */
export const signatureHeader = "x-signature";

/** The parts of a message that its signature covers. */
export type SignedMessage = {
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array | string;
};

/** Signs a message; returns the value of the signature header. */
export function signMessage(
  message: SignedMessage,
  options: { keyring: Keyring; clock: Clock },
): string {
  const stamp = `${options.clock.wallNow()};${createToken()}`;
  return `${stamp};${options.keyring.sign(formatContent(message, stamp))}`;
}

/** Verifies signatures and rejects replayed messages. */
export class SignatureVerifier {
  readonly #keyring: Keyring;
  readonly #clock: Clock;
  /** Nonces with the wall-clock time of their message, in order of arrival. */
  readonly #nonces = new Map<string, number>();

  static create(options: {
    keyring: Keyring;
    clock: Clock;
  }): SignatureVerifier {
    return new SignatureVerifier(options);
  }

  private constructor(options: { keyring: Keyring; clock: Clock }) {
    this.#keyring = options.keyring;
    this.#clock = options.clock;
  }

  /** Returns the reason to reject a message; undefined if it is genuine and new. */
  findRejection(
    message: SignedMessage,
    header: string | undefined,
  ): string | undefined {
    const [time, nonce, signature] = header?.split(";") ?? [];
    if (!time || !nonce || !signature) return "no signature";
    const clockSkew = Math.abs(this.#clock.wallNow() - Number(time));
    if (!(clockSkew <= maxClockSkewMillis))
      return "time outside the allowed window";
    const content = formatContent(message, `${time};${nonce}`);
    if (!this.#keyring.verify(content, signature)) return "wrong signature";
    if (this.#nonces.has(nonce)) return "message seen before";
    this.#recordNonce(nonce, Number(time));
    return undefined;
  }

  #recordNonce(nonce: string, time: number): void {
    this.#nonces.set(nonce, time);
    const oldest = this.#clock.wallNow() - 2 * maxClockSkewMillis;
    for (const [known, at] of this.#nonces) {
      if (at >= oldest && this.#nonces.size <= maxNonces) break;
      this.#nonces.delete(known);
    }
  }
}

function formatContent(message: SignedMessage, stamp: string): string {
  return [
    stamp,
    message.method,
    message.path,
    computeDigest(message.body),
  ].join("\n");
}
