import type { Either } from "purify-ts";
import {
  authenticate,
  type OrganisationDirectory,
} from "../../core/gateway/organisations.ts";
import { brandString, type Customer } from "../../core/ids.ts";
import type { Refusal } from "../../core/results/refusal.ts";
import { decodeKeyHeader } from "../keys/api_key.ts";

/** Header with the key of the caller's organisation, in lower case. */
const keyHeader = "x-api-key";

/** Finds the customer of a call, which is the organisation of its key; undefined if callers need no key. */
export function identifyCaller(
  rawHeaders: readonly string[],
  organisations: OrganisationDirectory | undefined,
): Either<Refusal, Customer | undefined> {
  const credential = decodeKeyHeader(rawHeaders, keyHeader);
  return authenticate({ organisations, isPublic: false, credential }).map(
    (organisation) => organisation && brandString<Customer>(organisation.name),
  );
}
