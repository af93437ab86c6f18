import { randomFillSync } from "node:crypto";
import type { Clock } from "../../core/clock.ts";
import type { Keyring } from "../keys/keyring.ts";

/** Maximum accepted clock skew between sender and receiver, in ms. */
const maxClockSkewMillis = 30_000;
/** Nonces kept to detect replays; beyond this the oldest are evicted and no datagram is refused. */
const maxNonces = 20_000;
/** Length of the truncated MAC in a frame, in bytes. */
const macBytes = 16;
const nonceBytes = 8;
const timeBytes = 8;
const formatVersion = 1;

/** Bytes that a frame adds to a body, without the key id. */
export const frameOverheadBytes = 2 + timeBytes + nonceBytes + macBytes;

/** Why a datagram was refused. */
export type FrameError = "form" | "signature" | "time" | "replay";

/** Signs datagrams, and verifies signature, time and nonce of received ones. */
export class FrameCodec {
  readonly #keyring: Keyring;
  readonly #clock: Clock;
  /** Nonces with their expiry times, oldest first. */
  readonly #nonces = new Map<bigint, number>();

  static create(options: { keyring: Keyring; clock: Clock }): FrameCodec {
    return new FrameCodec(options);
  }

  private constructor(options: { keyring: Keyring; clock: Clock }) {
    this.#keyring = options.keyring;
    this.#clock = options.clock;
  }

  /** Adds key id, MAC, time and nonce to a body. */
  encode(body: Uint8Array): Buffer {
    const stamp = Buffer.alloc(timeBytes + nonceBytes);
    stamp.writeDoubleBE(this.#clock.wallNow(), 0);
    randomFillSync(stamp, timeBytes);
    const { key, mac } = this.#keyring.signBytes(Buffer.concat([stamp, body]));
    const id = Buffer.from(key);
    const start = Buffer.from([formatVersion, id.length]);
    return Buffer.concat([start, id, mac.subarray(0, macBytes), stamp, body]);
  }

  /** Verifies a frame and returns its body, or the reason for its refusal, such as a replay. */
  open(frame: Buffer): Buffer | FrameError {
    const idLength = frame[1] ?? 0;
    const macStart = 2 + idLength;
    const stampStart = macStart + macBytes;
    const bodyStart = stampStart + timeBytes + nonceBytes;
    if (frame[0] !== formatVersion || frame.length < bodyStart) return "form";
    const key = frame.toString("utf8", 2, macStart);
    const mac = frame.subarray(macStart, stampStart);
    const signed = frame.subarray(stampStart);
    if (!this.#keyring.verifyBytes(signed, { key, mac })) return "signature";
    const sentAt = frame.readDoubleBE(stampStart);
    const now = this.#clock.wallNow();
    if (!(Math.abs(now - sentAt) <= maxClockSkewMillis)) return "time";
    const nonce = frame.readBigUInt64BE(stampStart + timeBytes);
    if (this.#nonces.has(nonce)) return "replay";
    this.#recordNonce(nonce, sentAt + maxClockSkewMillis);
    return frame.subarray(bodyStart);
  }

  #recordNonce(nonce: bigint, expiresAt: number): void {
    this.#nonces.set(nonce, expiresAt);
    const now = this.#clock.wallNow();
    for (const [oldest, expiresAt] of this.#nonces) {
      if (expiresAt >= now && this.#nonces.size <= maxNonces) break;
      this.#nonces.delete(oldest);
    }
  }
}
