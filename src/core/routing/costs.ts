/** Prices that make the kinds of routing choice comparable, in ms of waiting. */
export type RouteCosts = {
  /** Time of a load without queueing, in ms. */
  readonly loadTime: number;
  /** Price of a load beyond its time: it uses the shared budget, and evicts an adapter that will often be loaded again. */
  readonly load: number;
  /** Price of loading at the second home instead of the first. */
  readonly secondHome: number;
  /** Price of loading at an engine that is no home. */
  readonly nonHome: number;
  /** Extra time to the first token from another region, in ms. */
  readonly remoteDelay: number;
  readonly bytesPerToken: number;
  /** Waiting time that one byte of traffic between regions is worth, in ms. */
  readonly msPerRemoteByte: number;
};

/**
 * Costs at today's settings. A load takes 250 ms at the weight store, which
 * allows 3 a second for all regions; its price makes a short answer from
 * another region (40 kB) cheaper than a load, and a long one (280 kB) about
 * as dear.
 */
export const defaultRouteCosts: RouteCosts = {
  loadTime: 250,
  load: 800,
  secondHome: 50,
  nonHome: 400,
  remoteDelay: 40,
  bytesPerToken: 200,
  msPerRemoteByte: 0.002,
};
