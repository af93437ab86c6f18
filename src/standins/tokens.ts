import type { GenerateOrder } from "../ports/engine.ts";

/** Tokens generated when the body has no `max_tokens`. */
const defaultTokens = 16;

/** Prompt and token count of a request body. */
export type Prompt = { readonly text: string; readonly tokens: number };

/** Parses `max_tokens` and `prompt` or `messages`; undefined if the body is not a JSON object. */
export function parsePrompt(body: Uint8Array): Prompt | undefined {
  try {
    const fields = JSON.parse(Buffer.from(body).toString()) as {
      max_tokens?: number;
      prompt?: string;
      messages?: { content: string }[];
    };
    const text =
      fields.prompt ??
      (fields.messages ?? []).map((message) => message.content).join("\n");
    return { text, tokens: fields.max_tokens ?? defaultTokens };
  } catch {
    return undefined;
  }
}

/** Computes the FNV-1a hash from which the tokens of an answer are derived. */
export function hashPrompt(adapter: string, text: string): number {
  let hash = 0x811c9dc5;
  for (const part of [adapter, "\n", text]) {
    for (let index = 0; index < part.length; index++) {
      hash = Math.imul(hash ^ part.charCodeAt(index), 0x01000193);
    }
  }
  return hash >>> 0;
}

/** Computes the token at `index`; its text contains the index, so that tests detect gaps. */
export function computeToken(hash: number, index: number): string {
  const mixed = Math.imul(hash ^ Math.imul(index, 0x9e3779b1), 0x85ebca6b);
  return ` ${index}:${(mixed >>> 0).toString(36)}`;
}

/** Computes the complete text of a correct answer. */
export function computeExpectedText(adapter: string, prompt: Prompt): string {
  const hash = hashPrompt(adapter, prompt.text);
  return Array.from({ length: prompt.tokens }, (_, index) =>
    computeToken(hash, index),
  ).join("");
}

/** Creates the encoder of an answer's server-sent events in the OpenAI stream format. */
export function createEventEncoder(
  order: GenerateOrder,
  prompt: Prompt,
): (index: number) => Uint8Array {
  const hash = hashPrompt(order.adapter, prompt.text);
  const chat = order.path === "/v1/chat/completions";
  const object = chat ? "chat.completion.chunk" : "text_completion";
  const id = JSON.stringify(order.requestId);
  const model = JSON.stringify(order.adapter);
  const prefix =
    `data: {"id":${id},"object":"${object}","created":0,"model":${model},` +
    `"choices":[{"index":0,${chat ? '"delta":{"content":"' : '"text":"'}`;
  const suffix = `"${chat ? "}" : ""},"finish_reason":`;
  return (index) => {
    const reason = index + 1 < prompt.tokens ? "null" : '"length"';
    return Buffer.from(
      `${prefix}${computeToken(hash, index)}${suffix}${reason}}]}\n\n`,
      "latin1",
    );
  };
}
