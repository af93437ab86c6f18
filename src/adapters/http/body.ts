import type { IncomingMessage, ServerResponse } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { type Clock, millis } from "../../core/clock.ts";
import type {
  BudgetShare,
  ByteBudget,
} from "../../core/gateway/byte_budget.ts";
import { type Refusal, refuse } from "../../core/results/refusal.ts";
import { BlockPool, BodyBuffer } from "./body_buffer.ts";
import { onExchangeEnd } from "./exchange_end.ts";

/** Maximum size of a request body, in bytes. */
export const maxBodyBytes = 1024 * 1024;
/** Timeout for receiving a request body, in ms. */
export const bodyTimeoutMillis = 10_000;

/** Part of each body that does not count, so that small requests are taken beside large ones, in bytes. */
export const uncountedBytes = 16 * 1024;
/** Delay before a caller whose request found no room should send it again, in ms. */
const retryDelay = millis(400);

/** Budget that a body counts in until its response has ended. */
export type BodyRoom = {
  readonly budget: ByteBudget;
  readonly response: ServerResponse;
};

/** Blocks of all bodies of this process that are being read. */
const blocks = BlockPool.create(16 * maxBodyBytes);

/** Reads a whole request body within the size limit and the timeout, or until the server stops. */
export function readBody(
  request: IncomingMessage,
  options: {
    clock: Clock;
    maxBytes?: number;
    stopping?: AbortSignal | undefined;
    /** Without it the body counts in no budget. */
    room?: BodyRoom | undefined;
  },
): Promise<Either<Refusal, Buffer>> {
  const { maxBytes = maxBodyBytes, stopping, room } = options;
  return new Promise((resolve) => {
    const body = BodyBuffer.create(blocks);
    let size = 0;
    let keptBytes = 0;
    let isWithoutRoom = false;
    const share = openShare(request, room, () => {
      body.clear();
      isWithoutRoom = true;
    });
    const finish = (result: Either<Refusal, Buffer>): void => {
      cancel();
      stopping?.removeEventListener("abort", refuseStopping);
      request.removeAllListeners("data");
      request.pause();
      body.clear();
      resolve(result);
    };
    const cancel = options.clock.schedule(millis(bodyTimeoutMillis), () =>
      finish(
        Left(
          refuse(
            "slowBody",
            `Request body did not arrive within ${bodyTimeoutMillis} ms; send it without pauses`,
          ),
        ),
      ),
    );
    const refuseStopping = (): void =>
      finish(
        Left(
          refuse("draining", "The node stopped before the body had arrived"),
        ),
      );
    stopping?.addEventListener("abort", refuseStopping);
    if (stopping?.aborted) return refuseStopping();
    request.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        finish(
          Left(
            refuse(
              "bodyTooLarge",
              `Request body exceeds ${maxBytes} bytes; send a smaller one`,
            ),
          ),
        );
        return;
      }
      if (isWithoutRoom) return;
      const taken = body.push(chunk);
      keptBytes += taken;
      if (taken > 0 && keptBytes > uncountedBytes) share?.add(taken);
    });
    request.on("end", () => {
      // A caller that is still sending may miss its answer, so the refusal follows the whole body.
      if (isWithoutRoom) return finish(Left(refuseWithoutRoom()));
      share?.settle();
      finish(Right(body.take()));
    });
    request.on("error", () =>
      finish(
        Left(
          refuse(
            "malformedBody",
            "The request body was truncated; send it whole",
          ),
        ),
      ),
    );
  });
}

/** Opens the share of a body, which is released when its response has ended. */
function openShare(
  request: IncomingMessage,
  room: BodyRoom | undefined,
  onTakenBack: () => void,
): BudgetShare | undefined {
  if (room === undefined) return undefined;
  const share = room.budget.open(onTakenBack);
  onExchangeEnd(request, room.response, () => share.release());
  return share;
}

/** Refuses a request whose body found no room, with a delay to send it again after. */
export function refuseWithoutRoom(): Refusal {
  const detail = "The node has no room for more request bodies";
  return refuse("noRoomForBody", detail, { retryAfter: retryDelay });
}
