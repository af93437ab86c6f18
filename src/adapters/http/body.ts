import type { IncomingMessage } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { type Clock, millis } from "../../core/clock.ts";
import { type Refusal, refuse } from "../../core/results/refusal.ts";

/** Maximum size of a request body, in bytes. */
export const maxBodyBytes = 1024 * 1024;
/** Timeout for receiving a request body, in ms. */
export const bodyTimeoutMillis = 10_000;

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
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (result: Either<Refusal, Buffer>): void => {
      cancel();
      stopping?.removeEventListener("abort", refuseStopping);
      request.removeAllListeners("data");
      request.pause();
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
      chunks.push(chunk);
    });
    request.on("end", () => finish(Right(Buffer.concat(chunks))));
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
