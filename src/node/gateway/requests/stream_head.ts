import type { ResponseHead } from "../../../ports/gateway.ts";

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

/** Head without a length, which the rest of a stream from another server may not have. */
export function withoutLength({ status, headers }: ResponseHead): ResponseHead {
  const kept: string[] = [];
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const [name, value] = headers.slice(at, at + 2) as [string, string];
    if (name.toLowerCase() !== "content-length") kept.push(name, value);
  }
  return { status, headers: kept };
}

/** Media type without its parameters, in lower case. */
function findMediaType({ headers }: ResponseHead): string | undefined {
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (headers[at]?.toLowerCase() !== "content-type") continue;
    return headers[at + 1]?.split(";")[0]?.trim().toLowerCase();
  }
  return undefined;
}
