import type { Either } from "purify-ts";
import type { DigestText } from "../core/config/revision.ts";
import type { Sheet, SheetDelta } from "../core/config/sheet.ts";
import type { NodeId, Revision } from "../core/ids.ts";
import type { Refusal } from "../core/results/refusal.ts";

/** One revision as stored or sent: a complete sheet, or the changes to the previous one. */
export type SheetObject =
  | {
      readonly kind: "snapshot";
      readonly revision: Revision;
      readonly sheet: Sheet;
    }
  | {
      readonly kind: "delta";
      readonly revision: Revision;
      readonly delta: SheetDelta;
    };

/** Encodes sheets and computes the digests of their entries. */
export type SheetCodec = {
  /** Parses and validates an operator's sheet; a refusal names the path, value and remedy. */
  readonly parse: (content: unknown) => Either<Refusal, Sheet>;
  /** Converts a sheet to the form that operators write. */
  readonly format: (sheet: Sheet) => unknown;
  readonly encode: (object: SheetObject) => Uint8Array;
  /** Decodes an object; undefined if the bytes are malformed. */
  readonly decode: (bytes: Uint8Array) => SheetObject | undefined;
  readonly digestText: DigestText;
};

/** Fetches the configuration from other nodes. */
export type ConfigurationPeers = {
  /** Fetches the objects that bring a revision up to the peer's newest one, oldest first. */
  fetch(
    node: NodeId,
    after: Revision,
  ): Promise<Either<{ readonly detail: string }, readonly Uint8Array[]>>;
};
