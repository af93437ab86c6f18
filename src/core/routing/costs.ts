/** Costs that make loads, queues and remote regions comparable, in ms of waiting time. */
export type RouteCosts = {
  /** Time of a load without queueing, in ms. */
  readonly loadTime: number;
  /** Cost of a load beyond its time: it uses the shared load budget and evicts an adapter that often has to be loaded again. */
  readonly load: number;
  /** Extra cost of a load at the second home in rendezvous order instead of the first. */
  readonly secondHome: number;
  /** Extra cost of a load at an engine that is not a home of the adapter. */
  readonly nonHome: number;
  /** Extra time to the first token of a request to another region, in ms. */
  readonly remoteDelay: number;
  readonly bytesPerToken: number;
  /** Cost of one byte of traffic between regions, in ms of waiting time. */
  readonly msPerRemoteByte: number;
};

/**
 * Default costs. A load takes 250 ms at the weight store, which allows 3 loads
 * per second for all regions. The cost of a load makes a short answer from
 * another region (40 kB) cheaper than a load, and a long one (280 kB) about as
 * expensive.
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
