import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import { type AdapterKey, brandString, type Digest } from "../../core/ids.ts";
import { type Refusal, refuse } from "../../core/results/refusal.ts";
import type { EncodedDraft } from "../../ports/front_end.ts";
import { computeDigest } from "../keys/keyring.ts";

/** Expected answer length of a request without `max_tokens`, in tokens. */
const defaultExpectedTokens = 256;
/** Maximum value of `max_tokens`. */
const maxTokens = 32_768;
/** Number of leading characters of the prompt that identify a shared prefix. */
const prefixLength = 256;

const draftSchema = z.looseObject({
  model: z.string().min(1).max(256),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().min(1).max(maxTokens).optional(),
  messages: z
    .array(z.looseObject({ role: z.string() }))
    .min(1)
    .optional(),
  prompt: z.string().optional(),
});

/** Decoded body of a chat or completion call. */
export type DraftBody = {
  readonly model: string;
  readonly stream: boolean;
  readonly expectedTokens: number;
  readonly encode: (key: AdapterKey) => EncodedDraft;
};

/** Parses and validates the body of a chat or completion call. */
export function parseDraftBody(
  bytes: Buffer,
  kind: "chat" | "completion",
): Either<Refusal, DraftBody> {
  let content: unknown;
  try {
    content = JSON.parse(bytes.toString("utf8"));
  } catch {
    return Left(
      refuse(
        "malformedBody",
        "Request body is not valid JSON; send a JSON object",
      ),
    );
  }
  const parsed = draftSchema.safeParse(content);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return Left(
      refuse(
        "malformedBody",
        `Field "${issue?.path.join(".") || "body"}": ${issue?.message}; correct it`,
      ),
    );
  }
  const { model, stream, max_tokens, messages, prompt, ...rest } = parsed.data;
  const text = kind === "chat" ? messages : prompt;
  if (text === undefined) {
    const field = kind === "chat" ? "messages" : "prompt";
    return Left(refuse("malformedBody", `Field "${field}" is missing; add it`));
  }
  const promptStart = JSON.stringify(text).slice(0, prefixLength);
  return Right({
    model,
    stream: stream ?? false,
    expectedTokens: max_tokens ?? defaultExpectedTokens,
    encode: (key) => {
      const body = JSON.stringify({
        ...rest,
        ...(messages === undefined ? {} : { messages }),
        ...(prompt === undefined ? {} : { prompt }),
        ...(max_tokens === undefined ? {} : { max_tokens }),
        model: key,
        stream: true,
      });
      return {
        body: Buffer.from(body),
        digest: brandString<Digest>(computeDigest(body)),
        prefix: brandString<Digest>(computeDigest(`${key}\n${promptStart}`)),
      };
    },
  });
}
