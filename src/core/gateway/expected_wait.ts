import { type Millis, millis } from "../clock.ts";

/**
 * Expected time until a server begins to answer a request, by what causes it.
 * Admission, routing and placement compare servers by it.
 */
export type ExpectedWait = {
  /** Requests before it at the server, in ms. */
  readonly queue: Millis;
  /** Load of its adapter, in ms. */
  readonly load: Millis;
  /** Its own prompt, at the pace of the server, in ms. */
  readonly prompt: Millis;
  /** Way to the server and back, in ms. */
  readonly distance: Millis;
};

/** Sum of the parts, in ms. */
export function totalWait({
  queue,
  load,
  prompt,
  distance,
}: ExpectedWait): Millis {
  return millis(queue + load + prompt + distance);
}
