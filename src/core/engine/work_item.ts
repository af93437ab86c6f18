import type { Millis } from "../clock.ts";
import type { AdapterKey, Customer, Digest, RequestId } from "../ids.ts";

/** Priority class of a request, highest first. */
export type Priority = "urgent" | "normal" | "bulk";

/** Request for an engine, without its body. */
export type WorkItem = {
  readonly requestId: RequestId;
  readonly adapter: AdapterKey;
  readonly customer: Customer;
  readonly priority: Priority;
  /** Expected number of tokens in the answer, from `max_tokens`. */
  readonly expectedTokens: number;
  /** Arrival, and deadline of the first token, by the clock of the node that holds the work. */
  readonly arrivedAt: Millis;
  readonly deadlineAt: Millis;
  /** Digest of adapter, version and content; identifies poison requests. */
  readonly digest: Digest;
  /** Digest of the start of the prompt, for grouping by prefix. */
  readonly prefix: Digest;
  /** Number of stream events that the caller has already received. */
  readonly resumeAt: number;
  /** Must run alone, since it may have crashed an engine. */
  readonly isolated: boolean;
};
