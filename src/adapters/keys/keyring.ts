import {
  createHash,
  createHmac,
  randomBytes,
  timingSafeEqual,
} from "node:crypto";
import { readFileSync } from "node:fs";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { Cancel, Clock } from "../../core/clock.ts";
import { watchFile } from "./file_watch.ts";

/** Minimum length of a secret, in characters. */
const minSecretLength = 16;

/** Minimum length of a datagram's MAC, in bytes; RFC 2104 recommends at least half of the hash output. */
const minMacBytes = 16;

const keyFileSchema = z.strictObject({
  keys: z
    .array(
      z.strictObject({
        id: z.string().min(1).max(64),
        secret: z.string().min(minSecretLength),
      }),
    )
    .min(1),
});

/** Options of {@link Keyring.watch}. */
export type KeyWatchOptions = {
  readonly clock: Clock;
  /** Called after each attempt to reload, with the error if it failed. */
  readonly onReload: (error: string | undefined) => void;
};

type Key = { readonly id: string; readonly secret: string };

/** Signs with the first key of the key file and accepts signatures by any of them. */
export class Keyring {
  #keys: readonly Key[];
  #cancelWatch: Cancel | undefined;

  /** Creates a keyring whose first key signs. */
  static create(keys: readonly Key[]): Keyring {
    return new Keyring(keys);
  }

  private constructor(keys: readonly Key[]) {
    this.#keys = keys;
  }

  /** Returns the signature of the content as `KEY:HEX`. */
  sign(content: string | Uint8Array): string {
    const key = this.#keys[0] as Key;
    return `${key.id}:${computeMac(key, content).toString("hex")}`;
  }

  /** Whether the signature matches this content under a known key. */
  verify(content: string | Uint8Array, signature: string): boolean {
    const colon = signature.indexOf(":");
    const key = this.#keys.find(
      (candidate) => candidate.id === signature.slice(0, colon),
    );
    if (key === undefined) return false;
    const received = Buffer.from(signature.slice(colon + 1), "hex");
    const expected = computeMac(key, content);
    return (
      received.length === expected.length && timingSafeEqual(received, expected)
    );
  }

  /** Returns the id of the signing key and the full-length MAC. */
  signBytes(content: Uint8Array): {
    readonly key: string;
    readonly mac: Buffer;
  } {
    const key = this.#keys[0] as Key;
    return { key: key.id, mac: computeMac(key, content) };
  }

  /** Whether `mac` is a valid, possibly truncated MAC of this content under the named key. */
  verifyBytes(
    content: Uint8Array,
    signature: { readonly key: string; readonly mac: Uint8Array },
  ): boolean {
    const key = this.#keys.find((candidate) => candidate.id === signature.key);
    if (key === undefined) return false;
    const { mac } = signature;
    const expected = computeMac(key, content).subarray(0, mac.length);
    return mac.length >= minMacBytes && timingSafeEqual(mac, expected);
  }

  replace(keys: readonly Key[]): void {
    this.#keys = keys;
  }

  /** Reloads the key file whenever it changes. */
  watch(path: string, options: KeyWatchOptions): void {
    const onChange = () => this.reload(path, options.onReload);
    this.#cancelWatch = watchFile(path, { clock: options.clock, onChange });
  }

  /** Reads the key file again; keeps the old keys if it is invalid. */
  reload(path: string, onReload: KeyWatchOptions["onReload"]): void {
    readKeyFile(path).caseOf<void>({
      Left: (error) => onReload(error),
      Right: (keys) => {
        this.replace(keys);
        onReload(undefined);
      },
    });
  }

  /** Stops watching the key file. */
  close(): void {
    this.#cancelWatch?.();
  }
}

function computeMac(key: Key, content: string | Uint8Array): Buffer {
  return createHmac("sha256", key.secret).update(content).digest();
}

/** Reads and validates a key file; the error message contains a remedy but no secret. */
export function readKeyFile(path: string): Either<string, readonly Key[]> {
  let content: unknown;
  try {
    content = JSON.parse(readFileSync(path, "utf8"));
  } catch {
    return Left(
      `Cannot read key file "${path}" as JSON; expected {"keys": [{"id": …, "secret": …}]}`,
    );
  }
  const parsed = keyFileSchema.safeParse(content);
  if (parsed.success) return Right(parsed.data.keys);
  const issue = parsed.error.issues[0];
  return Left(
    `Cannot use key file "${path}": ${issue?.path.join(".")}: ${issue?.message}; secrets need at least ${minSecretLength} characters`,
  );
}

/** SHA-256 digest in hexadecimal. */
export function computeDigest(content: string | Uint8Array): string {
  return createHash("sha256").update(content).digest("hex");
}

/** Creates a random token of 16 hexadecimal characters. */
export function createToken(): string {
  return randomBytes(8).toString("hex");
}
