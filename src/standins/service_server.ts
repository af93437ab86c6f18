import { type Clock, sleep } from "../core/clock.ts";
import { brandString, type RequestId } from "../core/ids.ts";
import { type HttpExchange, HttpHost } from "./http_host.ts";
import type { MemoryService } from "./memory_service.ts";

/** Serves a booking service on loopback; the host can break or silence its connections. */
export function createServiceServer(
  service: MemoryService,
  { clock, port = 0 }: { clock: Clock; port?: number },
): Promise<HttpHost> {
  return HttpHost.create(
    (exchange) => void handle(exchange, { service, clock }),
    {
      port,
    },
  );
}

async function handle(
  { request, response, path }: HttpExchange,
  { service, clock }: { service: MemoryService; clock: Clock },
): Promise<void> {
  const id = String(request.headers["x-request-id"]);
  const requestId = brandString<RequestId>(id);
  const method = request.method ?? "GET";
  const answer = service.run({ requestId, method, path });
  if (service.fault === "silent") return;
  if (service.fault === "broken") {
    response.destroy();
    return;
  }
  if (service.fault === "late") await sleep(clock, service.answerDelay);
  response.writeHead(answer.status, {
    "x-request-id": id,
    "content-type": answer.contentType,
    ...(answer.notRun === undefined ? {} : { "x-not-run": answer.notRun }),
    ...(answer.isLeaving === true ? { "x-leaving": "1" } : {}),
    ...(answer.retryAfter === undefined
      ? {}
      : { "retry-after": answer.retryAfter }),
  });
  response.end(answer.body);
}
