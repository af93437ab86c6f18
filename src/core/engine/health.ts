import { type Millis, millis } from "../clock.ts";

/** Own observations of one engine. */
export type Health = {
  state: "ok" | "slow";
  /** Usual time to first token and between tokens, in ms. */
  firstToken: number;
  tokenGap: number;
  /** Observed since the engine was classified as slow. */
  goodProbes: number;
  slowSince: Millis;
};

/** Health of an engine without observations. */
export function createHealth(): Health {
  return {
    state: "ok",
    firstToken: 0,
    tokenGap: 0,
    goodProbes: 0,
    slowSince: millis(0),
  };
}
