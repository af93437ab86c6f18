import { createHash } from "node:crypto";
import type { CallKind } from "../core/booking/call_messages.ts";
import { brandString, type Digest } from "../core/ids.ts";
import type { ServiceInput } from "../ports/front.ts";

/** Method and start of the path of calls that may be repeated; the start ends at a `/`. */
export type LookupRoute = { readonly method: string; readonly path: string };

/** One booking call; the deadline is a time of the node's clock. */
export type IncomingServiceCall = ServiceInput;

/** Decides from the settings and the key how often a call may be sent. */
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

/** Identifies what a call asks for. */
export function digestCall(call: IncomingServiceCall): Digest {
  const hash = createHash("sha256");
  hash.update(JSON.stringify([call.method, call.path]));
  hash.update(call.body);
  return brandString(hash.digest("hex"));
}

/** Identifies the idempotency key of a customer. */
export function digestKey(call: IncomingServiceCall): Digest {
  const hash = createHash("sha256");
  hash.update(JSON.stringify([call.customer, call.idempotencyKey]));
  return brandString(hash.digest("hex"));
}
