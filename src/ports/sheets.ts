import type { Either } from "purify-ts";
import type { DigestText } from "../core/config/revision.ts";
import type { Sheet, SheetDelta } from "../core/config/sheet.ts";
import type { NodeId, Revision } from "../core/ids.ts";
import type { Refusal } from "../core/results/refusal.ts";

/** One revision as stored or sent: a whole sheet, or changes to the one before. */
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

/** Encoding of sheets, and the digest of their entries. */
export type SheetCodec = {
  /** Reads and checks a sheet of an operator; the refusal names path, value and remedy. */
  readonly parse: (content: unknown) => Either<Refusal, Sheet>;
  /** Sheet in the form that operators write. */
  readonly format: (sheet: Sheet) => unknown;
  readonly encode: (object: SheetObject) => Uint8Array;
  /** Undefined if the bytes are malformed. */
  readonly decode: (bytes: Uint8Array) => SheetObject | undefined;
  readonly digestText: DigestText;
};

/** Way to the configuration of other nodes. */
export type ConfigurationPeers = {
  /** Objects that lead from a revision to the newest one of the peer, oldest first. */
  fetch(
    node: NodeId,
    after: Revision,
  ): Promise<Either<{ readonly detail: string }, readonly Uint8Array[]>>;
};
