import { type Either, Left } from "purify-ts";
import type { Clock, Millis } from "../core/clock.ts";
import type { TableFailure } from "../ports/table.ts";

/** Bounds a table call in time; after the deadline it may still have been applied. */
export function withTableTimeout<Answer>(
  call: Promise<Either<TableFailure, Answer>>,
  options: { readonly clock: Clock; readonly timeout: Millis },
): Promise<Either<TableFailure, Answer>> {
  return new Promise((resolve) => {
    const cancel = options.clock.schedule(options.timeout, () =>
      resolve(Left({ kind: "unknown", detail: "No answer in time" })),
    );
    void call.then((answer) => {
      cancel();
      resolve(answer);
    });
  });
}
