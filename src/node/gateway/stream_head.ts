import type { ResponseHead } from "../../ports/gateway.ts";

/** Whether a response can continue the stream that an earlier one started. */
export function continuesStream(
  started: ResponseHead,
  next: ResponseHead,
): boolean {
  return (
    next.status === started.status &&
    findMediaType(next) === findMediaType(started)
  );
}

/** Media type without its parameters, in lower case. */
function findMediaType({ headers }: ResponseHead): string | undefined {
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (headers[at]?.toLowerCase() !== "content-type") continue;
    return headers[at + 1]?.split(";")[0]?.trim().toLowerCase();
  }
  return undefined;
}
