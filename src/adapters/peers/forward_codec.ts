import { pack, unpack } from "msgpackr";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import { type Millis, millis } from "../../core/clock.ts";
import type { WorkItem } from "../../core/engine/work_item.ts";
import type { EngineId } from "../../core/ids.ts";
import { resultCodes } from "../../core/results/codes.ts";
import { type Refusal, refuse } from "../../core/results/refusal.ts";
import type { Submission } from "../../ports/access.ts";

/** Path for forwarded submissions on the peer listener. */
export const forwardPath = "/forward";

/** Maximum size of a forwarded message, in bytes: a caller's body plus its metadata. */
export const maxForwardBytes = 1024 * 1024 + 16 * 1024;

const text = z.string().min(1).max(512);
const count = z.number().int().min(0);

const messageSchema = z.strictObject({
  engine: text,
  path: z.enum(["/v1/chat/completions", "/v1/completions"]),
  body: z.instanceof(Uint8Array),
  work: z.strictObject({
    requestId: text,
    adapter: text,
    customer: text,
    priority: z.enum(["urgent", "normal", "bulk"]),
    expectedTokens: count,
    /** Time since arrival and time until the deadline, in ms; relative because nodes do not share a clock. */
    age: z.number(),
    remaining: z.number(),
    digest: text,
    prefix: text,
    resumeAt: count,
    isolated: z.boolean(),
  }),
});

/** A decoded forwarded submission. */
export type ForwardMessage = {
  readonly engine: EngineId;
  readonly submission: Submission;
};

/** Encodes a submission for the engine's owner; times become relative. */
export function encodeForward(message: ForwardMessage, now: Millis): Buffer {
  const { engine, submission } = message;
  const { arrivedAt, deadlineAt, ...work } = submission.work;
  return pack({
    engine,
    path: submission.path,
    body: submission.body,
    work: { ...work, age: now - arrivedAt, remaining: deadlineAt - now },
  });
}

/** Decodes a forwarded submission; times refer to this node's clock. */
export function decodeForward(
  bytes: Buffer,
  now: Millis,
): Either<Refusal, ForwardMessage> {
  let content: unknown;
  try {
    content = unpack(bytes);
  } catch {
    return Left(
      refuse("malformedBody", "Forwarded message is not valid msgpack"),
    );
  }
  const parsed = messageSchema.safeParse(content);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return Left(
      refuse(
        "malformedBody",
        `Forwarded field "${issue?.path.join(".")}": ${issue?.message}`,
      ),
    );
  }
  const { engine, path, body } = parsed.data;
  const { age, remaining, ...work } = parsed.data.work;
  return Right({
    engine: engine as EngineId,
    submission: {
      path,
      body,
      work: {
        ...(work as unknown as WorkItem),
        arrivedAt: millis(now - age),
        deadlineAt: millis(now + remaining),
      },
    },
  });
}

const refusalSchema = z.object({
  code: z.custom<Refusal["code"]>(
    (value) => typeof value === "string" && value in resultCodes,
  ),
  outcome: z.enum(["not-run", "ran", "may-have-run"]),
  detail: z.string(),
  retryAfter: z.number().optional(),
  suspect: z.boolean().optional(),
});

/** Encodes a refusal as a named server-sent event, for a stream that has started. */
export function encodeRefusalEvent(refusal: Refusal): string {
  return `event: refusal\ndata: ${JSON.stringify(refusal)}\n\n`;
}

/** Decodes the refusal in a named event or in a JSON body; undefined if it is malformed. */
export function decodeRefusal(content: string): Refusal | undefined {
  const json = content.slice(content.indexOf("{"));
  try {
    const parsed = refusalSchema.safeParse(JSON.parse(json));
    if (!parsed.success) return undefined;
    const { retryAfter, ...refusal } = parsed.data;
    return retryAfter === undefined
      ? refusal
      : { ...refusal, retryAfter: millis(retryAfter) };
  } catch {
    return undefined;
  }
}
