import { type Millis, millis } from "../clock.ts";

/** Budget of hedged requests, as a share of the tokens of all requests. */
export type HedgeBudget = {
  /** Tokens that may still be generated twice. */
  readonly credit: number;
  /** Hedges that were refused for lack of credit. */
  readonly refused: number;
};

/** Maximum share of extra tokens that hedging may cause (target M5). */
const hedgedShare = 0.05;
/** Maximum credit, in tokens: allows a burst of about 20 short answers. */
const maxCredit = 4000;
/** Multiple of the expected wait after which a request without a token is hedged. */
const hedgeFactor = 2.5;
/** Minimum wait before a hedge, in ms, so that normal variation causes none. */
const minHedgeWait = 250;

/** Creates the budget of a node that has sent no request yet. */
export function createHedgeBudget(): HedgeBudget {
  return { credit: 0, refused: 0 };
}

/** Adds credit for the tokens of an attempt that is not a hedge. */
export function depositHedgeCredit(
  budget: HedgeBudget,
  tokens: number,
): HedgeBudget {
  const credit = Math.min(maxCredit, budget.credit + hedgedShare * tokens);
  return { ...budget, credit };
}

/** Takes the credit for a hedge; `granted` is false if the credit is insufficient. */
export function takeHedgeCredit(
  budget: HedgeBudget,
  tokens: number,
): { budget: HedgeBudget; granted: boolean } {
  if (budget.credit < tokens)
    return {
      budget: { ...budget, refused: budget.refused + 1 },
      granted: false,
    };
  return {
    budget: { ...budget, credit: budget.credit - tokens },
    granted: true,
  };
}

/** Returns the credit of a hedge whose losing attempt ended before it produced tokens. */
export function refundHedgeCredit(
  budget: HedgeBudget,
  tokens: number,
): HedgeBudget {
  const credit = Math.min(maxCredit, budget.credit + tokens);
  return { ...budget, credit };
}

/** Computes the time at which a request without a token is hedged or moved. */
export function computeHedgeTime(options: {
  sentAt: Millis;
  expectedWait: Millis;
}): Millis {
  const wait = Math.max(minHedgeWait, hedgeFactor * options.expectedWait);
  return millis(options.sentAt + wait);
}

/** Decision for a request that is due for a hedge. */
export type HedgeDecision =
  /** Cancel the first attempt and send the request to another engine; costs no extra tokens while it is queued. */
  | { readonly kind: "move" }
  /** Run the request at both engines; the first token wins. */
  | { readonly kind: "hedge" }
  | { readonly kind: "wait" };

/** Decides whether to send a request to a second engine. */
export function decideHedge(options: {
  /** Time that the request has waited. */
  waited: Millis;
  /** Wait expected at the second engine. */
  alternativeWait: Millis;
  /** The owner of the first engine has not dispatched the request yet. */
  queued: boolean;
  hasCredit: boolean;
  /** The second engine would have to load the adapter, which evicts another. */
  needsLoad: boolean | undefined;
}): HedgeDecision {
  const { waited, alternativeWait, queued, hasCredit, needsLoad } = options;
  if (needsLoad === true) return { kind: "wait" };
  // On a slow engine, a request that has waited w is expected to wait about w more.
  if (alternativeWait >= waited) return { kind: "wait" };
  if (queued) return { kind: "move" };
  return hasCredit ? { kind: "hedge" } : { kind: "wait" };
}
