import type { Either } from "purify-ts";
import type { Millis } from "../core/clock.ts";
import type { Priority } from "../core/engine/work_item.ts";
import type {
  AdapterKey,
  Customer,
  Digest,
  RequestId,
  ServiceName,
} from "../core/ids.ts";
import type { Outcome } from "../core/results/outcome.ts";
import type { Refusal } from "../core/results/refusal.ts";
import type { AnswerSink } from "./access.ts";
import type { GenerateOrder } from "./engine.ts";

/** Body of a draft request for one adapter version, encoded for engines. */
export type EncodedDraft = {
  readonly body: Uint8Array;
  readonly digest: Digest;
  readonly prefix: Digest;
};

/** A draft request that a front end has decoded. */
export type DraftInput = {
  readonly requestId: RequestId;
  /** `ADAPTER@VERSION`, or `ADAPTER` for the version in force. */
  readonly model: string;
  readonly customer: Customer;
  readonly priority: Priority;
  /** Deadline of the first token, in ms from now. */
  readonly deadline: Millis;
  readonly expectedTokens: number;
  readonly path: GenerateOrder["path"];
  readonly encode: (key: AdapterKey) => EncodedDraft;
};

/** Controls one draft request. */
export type DraftControl = {
  cancel(): void;
  pause(): void;
  resume(): void;
};

/** A booking call that a front end has decoded. */
export type ServiceInput = {
  readonly requestId: RequestId;
  readonly service: ServiceName;
  readonly method: string;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  readonly customer: Customer;
  readonly idempotencyKey: string | undefined;
  /** Deadline of the whole call, in ms from now. */
  readonly deadline: Millis;
};

/** Complete answer to a booking call. */
export type BookingAnswer = {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  readonly outcome: Outcome;
  /** The answer was recorded earlier under the same idempotency key. */
  readonly replayed: boolean;
};

/** Operations that a node offers to front ends. */
export type FrontEndPort = {
  /** Runs a draft request; the sink may receive a refusal before this returns. */
  openDraft(input: DraftInput, sink: AnswerSink): DraftControl;
  callService(input: ServiceInput): Promise<Either<Refusal, BookingAnswer>>;
  /** Adapter versions of the configuration in force. */
  listModels(): Iterable<AdapterKey>;
  /** Returns the reason why the node accepts no requests; undefined if it does. */
  checkReadiness(): Refusal | undefined;
};
