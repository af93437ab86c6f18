import type { CallKind } from "../core/booking/call_messages.ts";
import type { Digest } from "../core/ids.ts";
import type { ServiceInput } from "../ports/front_end.ts";
import { digestContent } from "./content_digest.ts";

/** Method and path prefix of calls that may be repeated; the prefix matches whole path segments. */
export type LookupRoute = { readonly method: string; readonly path: string };

/** One booking call; unlike in `ServiceInput`, `deadline` is a time of the node's clock. */
export type IncomingServiceCall = ServiceInput;

/** Classifies a call by its route and idempotency key, which decide whether it may be sent more than once. */
export function classifyCall(
  call: IncomingServiceCall,
  lookups: readonly LookupRoute[],
): CallKind {
  const path = call.path.split("?", 1)[0] ?? "";
  const isLookup = lookups.some(
    (route) =>
      route.method === call.method &&
      (path === route.path ||
        path.startsWith(
          route.path.endsWith("/") ? route.path : `${route.path}/`,
        )),
  );
  if (isLookup) return "lookup";
  return call.idempotencyKey === undefined ? "once" : "keyed";
}

/** Computes the digest of method, path and body, which detects a key reused for another call. */
export function digestCall(call: IncomingServiceCall): Digest {
  return digestContent([call.method, call.path], call.body);
}

/** Computes the digest of a customer's idempotency key. */
export function digestKey(call: IncomingServiceCall): Digest {
  return digestContent([call.customer, call.idempotencyKey]);
}
