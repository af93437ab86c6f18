import type { GenerateOrder } from "../ports/engine.ts";

/** Tokens generated when the body names no number. */
const defaultTokens = 16;

/** What the model engine reads from the body of a request. */
export type Prompt = { readonly text: string; readonly tokens: number };

/** Reads `max_tokens` and `prompt` or `messages`; undefined if it is no JSON object. */
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

/** Hash that an answer's tokens are computed from (FNV-1a). */
export function hashPrompt(adapter: string, text: string): number {
  let hash = 0x811c9dc5;
  for (const part of [adapter, "\n", text]) {
    for (let index = 0; index < part.length; index++) {
      hash = Math.imul(hash ^ part.charCodeAt(index), 0x01000193);
    }
  }
  return hash >>> 0;
}

/** Token number `index` of the answer; shows its index, so that gaps are visible. */
export function computeToken(hash: number, index: number): string {
  const mixed = Math.imul(hash ^ Math.imul(index, 0x9e3779b1), 0x85ebca6b);
  return ` ${index}:${(mixed >>> 0).toString(36)}`;
}

/** Whole text of the answer that a correct engine gives. */
export function computeExpectedText(adapter: string, prompt: Prompt): string {
  const hash = hashPrompt(adapter, prompt.text);
  return Array.from({ length: prompt.tokens }, (_, index) =>
    computeToken(hash, index),
  ).join("");
}

/** Builds the server-sent events of one answer in the OpenAI stream format. */
export function createEventEncoder(
  order: GenerateOrder,
  prompt: Prompt,
): (index: number) => Uint8Array {
  const hash = hashPrompt(order.adapter, prompt.text);
  const chat = order.path === "/v1/chat/completions";
  const object = chat ? "chat.completion.chunk" : "text_completion";
  const id = JSON.stringify(order.requestId);
  const model = JSON.stringify(order.adapter);
  const head =
    `data: {"id":${id},"object":"${object}","created":0,"model":${model},` +
    `"choices":[{"index":0,${chat ? '"delta":{"content":"' : '"text":"'}`;
  const tail = `"${chat ? "}" : ""},"finish_reason":`;
  return (index) => {
    const reason = index + 1 < prompt.tokens ? "null" : '"length"';
    return Buffer.from(
      `${head}${computeToken(hash, index)}${tail}${reason}}]}\n\n`,
      "latin1",
    );
  };
}
