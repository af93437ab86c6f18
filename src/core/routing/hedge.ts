import { type Millis, millis } from "../clock.ts";

/** Account of extra work; hedges are paid from a share of the work sent. */
export type HedgeBudget = {
  /** Tokens of answers that may still be asked for twice. */
  readonly credit: number;
  /** Hedges that were refused for want of credit. */
  readonly refused: number;
};

/** Share of extra work that hedging may cause (target M5). */
const extraShare = 0.05;
/** Most credit that can be saved up, in tokens: a burst of about 20 short answers. */
const creditLimit = 4000;
/** Multiple of the expected wait after which a request without a token is hedged. */
const hedgeFactor = 2.5;
/** Shortest wait before a hedge, in ms, so that ordinary variation causes none. */
const shortestHedgeWait = 250;

/** Budget of a node that has sent nothing yet. */
export function createHedgeBudget(): HedgeBudget {
  return { credit: 0, refused: 0 };
}

/** Earns credit for work that was sent in the ordinary way. */
export function depositHedgeCredit(
  budget: HedgeBudget,
  tokens: number,
): HedgeBudget {
  const credit = Math.min(creditLimit, budget.credit + extraShare * tokens);
  return { ...budget, credit };
}

/** Pays for a hedge; `granted` says whether the credit was enough. */
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

/** Gives back the credit of a hedge whose loser ended before it produced tokens. */
export function refundHedgeCredit(
  budget: HedgeBudget,
  tokens: number,
): HedgeBudget {
  const credit = Math.min(creditLimit, budget.credit + tokens);
  return { ...budget, credit };
}

/** Time at which a request without a token should be hedged or moved. */
export function computeHedgeTime(options: {
  sentAt: Millis;
  expectedWait: Millis;
}): Millis {
  const wait = Math.max(shortestHedgeWait, hedgeFactor * options.expectedWait);
  return millis(options.sentAt + wait);
}

/** What to do with a request that is due for a hedge. */
export type HedgeDecision =
  /** Cancel the first attempt and send the request elsewhere: costs nothing extra while it was only queued. */
  | { readonly kind: "move" }
  /** Run it twice; the first token wins. */
  | { readonly kind: "hedge" }
  | { readonly kind: "wait" };

/** Decides whether a second engine is worth it. */
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
  const {
    waited,
    alternativeWait: otherWait,
    queued,
    hasCredit,
    needsLoad,
  } = options;
  if (needsLoad === true) return { kind: "wait" };
  // A request that has waited w is expected to wait about w more on a slow engine.
  if (otherWait >= waited) return { kind: "wait" };
  if (queued) return { kind: "move" };
  return hasCredit ? { kind: "hedge" } : { kind: "wait" };
}
