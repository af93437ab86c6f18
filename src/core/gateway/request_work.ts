import type { ModelAdapterKey } from "../ids.ts";

/** Work that a request needs from a server, as far as its head tells. */
export type RequestWork = {
  /** Prompt tokens to read and answer tokens at most; 0 for a service without models. */
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Adapter that has to be loaded where it is missing. */
  readonly adapter: ModelAdapterKey | undefined;
};

/** Work of a request for a service without models. */
export const plainWork: RequestWork = {
  promptTokens: 0,
  answerTokens: 0,
  adapter: undefined,
};
