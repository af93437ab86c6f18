import type { ServerResponse } from "node:http";
import type { RequestId } from "../../core/ids.ts";
import { resultCodes } from "../../core/results/codes.ts";
import type { Refusal } from "../../core/results/refusal.ts";

/** Error object that callers receive for a refusal. */
export function formatRefusal(refusal: Refusal, requestId?: RequestId) {
  const { number, remedy } = resultCodes[refusal.code];
  return {
    error: {
      code: number,
      type: refusal.code,
      message: refusal.detail,
      remedy,
      outcome: refusal.outcome,
      ...(requestId === undefined ? {} : { request_id: requestId }),
    },
  };
}

/** Writes a JSON response. */
export function writeJson(
  response: ServerResponse,
  content: { status: number; value: unknown; headers?: Record<string, string> },
): void {
  if (response.headersSent || response.destroyed) return;
  const body = Buffer.from(`${JSON.stringify(content.value)}\n`);
  response.writeHead(content.status, {
    "content-type": "application/json",
    "content-length": body.length,
    ...content.headers,
  });
  response.end(body);
}

/** Writes a refusal with its status, numbered code, outcome and `retry-after`. */
export function writeRefusal(
  response: ServerResponse,
  refusal: Refusal,
  requestId?: RequestId,
): void {
  const headers: Record<string, string> = { "x-outcome": refusal.outcome };
  if (requestId !== undefined) headers["x-request-id"] = requestId;
  if (refusal.retryAfter !== undefined) {
    headers["retry-after"] = String(Math.ceil(refusal.retryAfter / 1_000));
  }
  writeJson(response, {
    status: resultCodes[refusal.code].status,
    value: formatRefusal(refusal, requestId),
    headers,
  });
}
