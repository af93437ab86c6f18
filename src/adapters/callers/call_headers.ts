import type { IncomingHttpHeaders } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { type Millis, millis } from "../../core/clock.ts";
import type { Priority } from "../../core/engine/work_item.ts";
import { brandString, type Customer, type RequestId } from "../../core/ids.ts";
import { type Refusal, refuse } from "../../core/results/refusal.ts";
import { createToken } from "../keys/keyring.ts";

/** Deadline of a call without the `x-deadline-ms` header, in ms. */
export const defaultDeadlineMillis = 30_000;
/** Maximum deadline that a caller may set, in ms. */
export const maxDeadlineMillis = 600_000;
/** Maximum length of an id or key in a header, in characters. */
const maxHeaderLength = 200;

/** Decoded headers of a call. */
export type CallHeaders = {
  readonly requestId: RequestId;
  readonly customer: Customer;
  readonly priority: Priority;
  readonly deadline: Millis;
  readonly idempotencyKey: string | undefined;
};

const priorities: readonly string[] = ["urgent", "normal", "bulk"];
const printable = /^[\x21-\x7e]+$/;

/** Parses and validates the headers of a call. */
export function parseCallHeaders(
  headers: IncomingHttpHeaders,
): Either<Refusal, CallHeaders> {
  for (const name of ["x-request-id", "x-customer", "idempotency-key"]) {
    const value = headers[name];
    if (value === undefined) continue;
    if (
      typeof value !== "string" ||
      value.length > maxHeaderLength ||
      !printable.test(value)
    ) {
      return Left(
        refuse(
          "badHeader",
          `Header "${name}" must be 1 to ${maxHeaderLength} printable characters without spaces`,
        ),
      );
    }
  }
  const priority = headers["x-priority"] ?? "normal";
  if (typeof priority !== "string" || !priorities.includes(priority)) {
    return Left(
      refuse(
        "badHeader",
        `Header "x-priority" must be one of ${priorities.join(", ")}`,
      ),
    );
  }
  const deadline = Number(headers["x-deadline-ms"] ?? defaultDeadlineMillis);
  if (!(deadline >= 1 && deadline <= maxDeadlineMillis)) {
    return Left(
      refuse(
        "badHeader",
        `Header "x-deadline-ms" must be a number from 1 to ${maxDeadlineMillis}`,
      ),
    );
  }
  return Right({
    requestId: brandString(
      (headers["x-request-id"] as string) ?? createToken(),
    ),
    customer: brandString((headers["x-customer"] as string) ?? "default"),
    priority: priority as Priority,
    deadline: millis(deadline),
    idempotencyKey: headers["idempotency-key"] as string | undefined,
  });
}
