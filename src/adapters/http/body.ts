import type { IncomingMessage } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { type Clock, millis } from "../../core/clock.ts";
import { type Refusal, refuse } from "../../core/results/refusal.ts";
import { BlockPool, BodyBuffer } from "./body_buffer.ts";

/** Maximum size of a request body, in bytes. */
export const maxBodyBytes = 1024 * 1024;
/** Timeout for receiving a request body, in ms. */
export const bodyTimeoutMillis = 10_000;

/** Blocks of all bodies of this process that are being read. */
const blocks = BlockPool.create(16 * maxBodyBytes);

/** Reads a whole request body within the size limit and the timeout, or until the server stops. */
export function readBody(
  request: IncomingMessage,
  options: {
    clock: Clock;
    maxBytes?: number;
    stopping?: AbortSignal | undefined;
  },
): Promise<Either<Refusal, Buffer>> {
  const { maxBytes = maxBodyBytes, stopping } = options;
  return new Promise((resolve) => {
    const body = BodyBuffer.create(blocks);
    let size = 0;
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
      body.push(chunk);
    });
    request.on("end", () => finish(Right(body.take())));
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
