import type { Clock } from "../../core/clock.ts";
import { computeDigest, createToken, type Keyring } from "../keys/keyring.ts";

/** Largest accepted difference between the clocks of sender and receiver, in ms. */
const maxClockSkewMillis = 30_000;
/** Nonces remembered against replay. */
const maxNonces = 200_000;

/** Header that carries time, nonce and signature. */
export const signatureHeader = "x-signature";

/** What a signature covers. */
export type SignedMessage = {
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array | string;
};

/** Signs a message; the result is the value of the signature header. */
export function signMessage(
  message: SignedMessage,
  options: { keyring: Keyring; clock: Clock },
): string {
  const stamp = `${options.clock.wallNow()};${createToken()}`;
  return `${stamp};${options.keyring.sign(formatContent(message, stamp))}`;
}

/** Checks signatures and refuses a message that was seen before. */
export class SignatureVerifier {
  readonly #keyring: Keyring;
  readonly #clock: Clock;
  /** Nonces with the wall-clock time of their message, oldest first. */
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

  /** Undefined when the message is genuine and new, else the reason. */
  findRejection(
    message: SignedMessage,
    header: string | undefined,
  ): string | undefined {
    const [time, nonce, signature] = header?.split(";") ?? [];
    if (!time || !nonce || !signature) return "no signature";
    const age = Math.abs(this.#clock.wallNow() - Number(time));
    if (!(age <= maxClockSkewMillis)) return "time outside the allowed window";
    const content = formatContent(message, `${time};${nonce}`);
    if (!this.#keyring.verify(content, signature)) return "wrong signature";
    if (this.#nonces.has(nonce)) return "message seen before";
    this.#remember(nonce, Number(time));
    return undefined;
  }

  #remember(nonce: string, time: number): void {
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
