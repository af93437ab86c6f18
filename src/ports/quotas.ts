import type { Millis } from "../core/clock.ts";
import type { Organisation } from "../core/gateway/organisations.ts";
import type { CreditState, QuotaLevel } from "../core/gateway/quota_account.ts";
import type { CreditLot } from "../core/gateway/quota_credit.ts";
import type { MachineName, OrganisationName } from "../core/ids.ts";

/** Credit on its way between two nodes. */
export type SentLot = {
  readonly amount: number;
  /** Time since it was earned, in ms. */
  readonly age: Millis;
};

/** What a message says of one organisation. */
export type CreditEntry = {
  readonly organisation: OrganisationName;
  /** Credit that passes over to the node that receives the message. */
  readonly lots: readonly SentLot[];
  /** Units that are asked for: for what waits, and ahead. */
  readonly need: number;
  readonly ahead: number;
  /** State of the credit of the sender, in an answer. */
  readonly state: CreditState;
};

/** Exchange of credit between a node, the pool of its data centre and the pool of all. */
export type CreditMessage = {
  readonly type: "credit";
  readonly from: MachineName;
  /** Number of the process of the sender, and of the message among those that it has sent. */
  readonly session: number;
  readonly sequence: number;
  /** Session of the addressee as far as it is known, otherwise 0: another process takes no credit. */
  readonly to: number;
  /** Account of the addressee that is meant. */
  readonly level: QuotaLevel;
  /** The message wants an answer. */
  readonly isAsk: boolean;
  readonly entries: readonly CreditEntry[];
};

/** Credit that one request has taken from the quota of its organisation. */
export type TakenCredit = {
  readonly units: number;
  readonly lots: readonly CreditLot[];
  /** Time until which the request may be sent with it. */
  readonly until: Millis;
};

/** Result of taking the credit of one request. */
export type QuotaResult =
  | { readonly kind: "taken"; readonly credit: TakenCredit }
  | { readonly kind: "refused"; readonly retryIn: Millis };

/** Quotas of the organisations, as requests use them. */
export type ServiceQuotas = {
  /** Takes units from the quota of an organisation; waits a short time for other nodes. */
  take(
    organisation: Organisation,
    units: number,
  ): QuotaResult | Promise<QuotaResult>;
  /** Gives back the credit of a request that has not run. */
  giveBack(organisation: Organisation, credit: TakenCredit): void;
};
