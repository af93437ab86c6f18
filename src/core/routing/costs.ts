/** Prices that make the kinds of routing choice comparable, in ms of waiting. */
export type RouteCosts = {
  /** Time of a load without queueing, in ms. */
  readonly loadTime: number;
  /** Price of a load beyond its time: it uses the shared budget and a slot. */
  readonly load: number;
  /** Price of loading at the second home instead of the first. */
  readonly secondHome: number;
  /** Price of loading at an engine that is no home. */
  readonly foreignHome: number;
  /** Extra time to the first token from another region, in ms. */
  readonly remoteDelay: number;
  readonly bytesPerToken: number;
  /** Waiting time that one byte of traffic between regions is worth, in ms. */
  readonly msPerRemoteByte: number;
};

/**
 * Costs at today's settings. A load takes 250 ms at the weight store. The
 * remote price lets a request of 200 tokens leave its region only when it
 * saves about 0.8 s, more than a load and its queue normally take.
 */
export const defaultRouteCosts: RouteCosts = {
  loadTime: 250,
  load: 300,
  secondHome: 50,
  foreignHome: 400,
  remoteDelay: 40,
  bytesPerToken: 200,
  msPerRemoteByte: 0.02,
};
