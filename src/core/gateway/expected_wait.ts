import { type Millis, millis } from "../clock.ts";
import {
  type EngineBacklog,
  type EnginePace,
  estimateBacklogWait,
  estimateOwnPrompt,
  type PromptRates,
  sumDelays,
} from "./engine_backlog.ts";

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

/** What the wait at an engine depends on. */
export type EngineState = {
  /** Requests of all nodes at the engine. */
  readonly backlog: EngineBacklog;
  readonly pace: EnginePace & { readonly rates: PromptRates };
  /** Time that the engine takes, relative to the mean of its service. */
  readonly slowness: number;
  readonly load: Millis;
  readonly distance: Millis;
};

/** Expected wait of a request at an engine. */
export function expectEngineWait(
  { backlog, pace, slowness, load, distance }: EngineState,
  promptTokens: number,
): ExpectedWait {
  const delay = estimateBacklogWait(backlog, pace, promptTokens);
  const prompt = sumDelays(estimateOwnPrompt(pace.rates, promptTokens));
  return {
    queue: millis(delay * slowness),
    load,
    prompt: millis(prompt * slowness),
    distance,
  };
}
