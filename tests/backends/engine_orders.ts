/** Fixtures of the engine tests: orders and a recording sink. */
import { millis } from "../../src/core/clock.ts";
import {
  type AdapterKey,
  brandNumber,
  brandString,
  type FencingNumber,
  type RequestId,
} from "../../src/core/ids.ts";
import type { GenerateOrder, StreamSink } from "../../src/ports/engine.ts";

export const chains = brandString<AdapterKey>("chains@3");
export const claims = brandString<AdapterKey>("claims@1");
export const fence = brandNumber<FencingNumber>(5);
export const validUntil = millis(Number.POSITIVE_INFINITY);

/** Creates an order for four tokens; `fields` override its defaults. */
export function order(
  id: string,
  fields: Partial<GenerateOrder> = {},
): GenerateOrder {
  return {
    requestId: brandString<RequestId>(id),
    adapter: chains,
    path: "/v1/completions",
    body: Buffer.from(JSON.stringify({ prompt: "fit", max_tokens: 4 })),
    priority: "normal",
    fence,
    validUntil,
    resumeAt: 0,
    ...fields,
  };
}

/** Creates a sink that records its calls; `ended` resolves with `whole` or the kind of failure. */
export function createCollectingSink() {
  let finish = (_end: string) => {};
  const ended = new Promise<string>((resolve) => {
    finish = resolve;
  });
  const answer = { text: "", events: 0, end: "open", models: new Set() };
  const end = (kind: string) => {
    answer.end = kind;
    finish(kind);
  };
  const sink: StreamSink = {
    onChunk(bytes, count) {
      answer.events += count;
      for (const event of Buffer.from(bytes).toString().split("\n\n")) {
        if (event === "") continue;
        const json = JSON.parse(event.slice("data: ".length));
        answer.text += json.choices[0].text;
        answer.models.add(json.model);
      }
    },
    onEnd: () => end("whole"),
    onFailure: ({ kind }) => end(kind),
  };
  return { answer, sink, ended };
}
