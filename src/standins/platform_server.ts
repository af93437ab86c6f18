import type { Either } from "purify-ts";
import { brandString, type RowKey } from "../core/ids.ts";
import type { MachineList } from "../ports/machines.ts";
import type { ObjectStore } from "../ports/objects.ts";
import type { TableService, TransactionResult } from "../ports/table.ts";
import { type HttpExchange, HttpHost, sendJson } from "./http_host.ts";

/** What the platform offers; several stand-ins share one listener. */
export type Platform = {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly machines: MachineList;
};

/** Serves the platform on loopback; the host has the switches for broken connections. */
export function createPlatformServer(
  platform: Platform,
  { port = 0 } = {},
): Promise<HttpHost> {
  return HttpHost.create((call) => void handle(call, platform), { port });
}

async function handle(call: HttpExchange, platform: Platform): Promise<void> {
  const { table, machines } = platform;
  const url = new URL(call.path, "http://platform");
  const argument = url.searchParams.get("key") ?? "";
  if (url.pathname === "/row") {
    send(call, await table.read(brandString<RowKey>(argument)));
  } else if (url.pathname === "/rows") {
    send(call, await table.scan(argument));
  } else if (url.pathname === "/transactions") {
    const result = await table.transact(JSON.parse(call.body.toString()));
    send(call, result.map(encodeResult));
  } else if (url.pathname === "/machines") {
    send(call, await machines.list());
  } else {
    await handleObject(call, platform.objects);
  }
}

async function handleObject(call: HttpExchange, objects: ObjectStore) {
  if (call.request.method === "PUT") {
    send(call, await objects.put(call.path, call.body));
    return;
  }
  const content = await objects.get(call.path);
  content.caseOf({
    Left: () => send(call, content),
    Right: (bytes) => call.response.end(bytes),
  });
}

function encodeResult(result: TransactionResult) {
  if (result.kind === "committed") return result;
  const current = [...result.current].map(([key, row]) => [key, row ?? null]);
  return { ...result, current };
}

/** 503 promises that nothing was applied; a lost answer breaks the connection. */
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
