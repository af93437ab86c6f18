import { computeExpectedText } from "../standins/tokens.ts";

/** One draft of the demo and the answer that its caller received. */
export type DraftResult = {
  readonly adapter: string;
  readonly status: number;
  readonly text: string;
  /** The stream ended with `data: [DONE]`. */
  readonly ended: boolean;
  /** Adapter versions named in the events of the answer. */
  readonly models: ReadonlySet<string>;
  /** The stream ended and its text is exactly that of the requested adapter, without missing or duplicate tokens. */
  readonly whole: boolean;
};

/** Sends one streamed draft and reads its answer to the end. */
export async function sendDraft(options: {
  origin: string;
  adapter: string;
  prompt: string;
  tokens: number;
  customer: string;
}): Promise<DraftResult> {
  const { origin, adapter, prompt, tokens, customer } = options;
  const response = await fetch(`${origin}/v1/completions`, {
    method: "POST",
    headers: { "x-customer": customer, "x-deadline-ms": "60000" },
    body: JSON.stringify({
      model: adapter,
      prompt,
      max_tokens: tokens,
      stream: true,
    }),
  });
  const body = await response.text();
  const events = body
    .split("\n\n")
    .filter((event) => event.startsWith("data: {"))
    .map((event) => JSON.parse(event.slice("data: ".length)));
  const text = events.map((event) => event.choices?.[0]?.text ?? "").join("");
  const ended = body.endsWith("data: [DONE]\n\n");
  return {
    adapter,
    status: response.status,
    text: response.ok ? text : body,
    ended,
    models: new Set(events.map((event) => event.model)),
    whole:
      ended && text === computeExpectedText(adapter, { text: prompt, tokens }),
  };
}
