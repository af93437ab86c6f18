import type { Either } from "purify-ts";
import { brandString, type RowKey } from "../core/ids.ts";
import type { MachineList } from "../ports/machines.ts";
import type { ObjectStore } from "../ports/objects.ts";
import type { TableService, TransactionResult } from "../ports/table.ts";
import { type HttpExchange, HttpHost, sendJson } from "./http_host.ts";

/** Services of the platform that share one listener. */
export type Platform = {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly machines: MachineList;
};

/** Serves the platform on loopback; the host can break or silence its connections. */
export function createPlatformServer(
  platform: Platform,
  { port = 0 } = {},
): Promise<HttpHost> {
  return HttpHost.create((exchange) => void handle(exchange, platform), {
    port,
  });
}

async function handle(
  exchange: HttpExchange,
  platform: Platform,
): Promise<void> {
  const { table, machines } = platform;
  const url = new URL(exchange.path, "http://platform");
  const key = url.searchParams.get("key") ?? "";
  if (url.pathname === "/row") {
    send(exchange, await table.read(brandString<RowKey>(key)));
  } else if (url.pathname === "/rows") {
    send(exchange, await table.scan(key));
  } else if (url.pathname === "/transactions") {
    const result = await table.transact(JSON.parse(exchange.body.toString()));
    send(exchange, result.map(encodeResult));
  } else if (url.pathname === "/machines") {
    send(exchange, await machines.list());
  } else {
    await handleObject(exchange, platform.objects);
  }
}

async function handleObject(exchange: HttpExchange, objects: ObjectStore) {
  if (exchange.request.method === "PUT") {
    send(exchange, await objects.put(exchange.path, exchange.body));
    return;
  }
  const content = await objects.get(exchange.path);
  content.caseOf({
    Left: () => send(exchange, content),
    Right: (bytes) => exchange.response.end(bytes),
  });
}

function encodeResult(result: TransactionResult) {
  if (result.kind === "committed") return result;
  const current = [...result.current].map(([key, row]) => [key, row ?? null]);
  return { ...result, current };
}

/** Status 503 guarantees that nothing was applied; an unknown result breaks the connection. */
function send(
  { response }: HttpExchange,
  result: Either<{ kind?: string; detail: string }, unknown>,
): void {
  result.caseOf({
    Left: (failure) => {
      if (failure.kind === "unknown") response.destroy();
      else {
        const status = failure.kind === "missing" ? 404 : 503;
        sendJson(response, { status, value: failure });
      }
    },
    Right: (value) => sendJson(response, { value }),
  });
}
