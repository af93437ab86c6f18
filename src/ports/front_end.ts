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

/** Content of a draft for one adapter version, encoded for engines. */
export type EncodedDraft = {
  readonly body: Uint8Array;
  readonly digest: Digest;
  readonly prefix: Digest;
};

/** One draft request as a front end decodes it. */
export type DraftInput = {
  readonly requestId: RequestId;
  /** `ADAPTER@VERSION`, or `ADAPTER` for the version in force. */
  readonly model: string;
  readonly customer: Customer;
  readonly priority: Priority;
  /** Time until the first token must come, in ms from now. */
  readonly deadline: Millis;
  readonly expectedTokens: number;
  readonly path: GenerateOrder["path"];
  readonly encode: (key: AdapterKey) => EncodedDraft;
};

/** Steers one draft for its front end. */
export type DraftControl = {
  cancel(): void;
  pause(): void;
  resume(): void;
};

/** One booking call as a front end decodes it. */
export type ServiceInput = {
  readonly requestId: RequestId;
  readonly service: ServiceName;
  readonly method: string;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  readonly customer: Customer;
  readonly idempotencyKey: string | undefined;
  /** Time for the whole call, in ms from now. */
  readonly deadline: Millis;
};

/** Whole answer of a booking call. */
export type BookingAnswer = {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  readonly outcome: Outcome;
  /** The answer was recorded earlier under the same idempotency key. */
  readonly replayed: boolean;
};

/** What a front end may ask of a node. */
export type FrontEndPort = {
  /** Runs a draft; the sink may hear of a refusal before this returns. */
  openDraft(input: DraftInput, sink: AnswerSink): DraftControl;
  callService(input: ServiceInput): Promise<Either<Refusal, BookingAnswer>>;
  /** Adapter versions of the configuration in force. */
  listModels(): Iterable<AdapterKey>;
  /** Undefined when the node takes requests, else the reason. */
  checkReadiness(): Refusal | undefined;
};
