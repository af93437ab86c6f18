import { type Either, Left } from "purify-ts";
import type { Clock, Millis } from "../core/clock.ts";
import type { TableFailure } from "../ports/table.ts";

/** Limits the duration of a table call; a call that timed out may still take effect. */
export function withTableTimeout<Answer>(
  call: Promise<Either<TableFailure, Answer>>,
  options: { readonly clock: Clock; readonly timeout: Millis },
): Promise<Either<TableFailure, Answer>> {
  return new Promise((resolve) => {
    const cancel = options.clock.schedule(options.timeout, () =>
      resolve(
        Left({
          kind: "unknown",
          detail: `The table did not answer in time (${options.timeout} ms)`,
        }),
      ),
    );
    void call.then((answer) => {
      cancel();
      resolve(answer);
    });
  });
}
