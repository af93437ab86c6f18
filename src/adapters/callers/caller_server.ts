import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Clock } from "../../core/clock.ts";
import type { ByteBudget } from "../../core/gateway/byte_budget.ts";
import type { OrganisationDirectory } from "../../core/gateway/organisations.ts";
import { brandString, parseAdapterKey } from "../../core/ids.ts";
import { type Refusal, refuse } from "../../core/results/refusal.ts";
import type { FrontEndPort } from "../../ports/front_end.ts";
import type { Meter } from "../../ports/journal.ts";
import { readBody } from "../http/body.ts";
import { onExchangeEnd } from "../http/exchange_end.ts";
import type { Admission } from "../http/listener.ts";
import { ReadPacer } from "../http/read_pacer.ts";
import { RequestsAhead } from "../http/requests_ahead.ts";
import { writeJson, writeRefusal } from "../http/responses.ts";
import { type CallHeaders, parseCallHeaders } from "./call_headers.ts";
import { identifyCaller } from "./caller_identity.ts";
import { type DraftBody, parseDraftBody } from "./draft_body.ts";
import type { InFlightLimiter } from "./in_flight_limiter.ts";
import {
  createCollectingWriter,
  createStreamWriter,
} from "./response_writers.ts";

/** Timeout for receiving the headers of a request, in ms. */
const headersTimeoutMillis = 5_000;
/** Interval between checks of that timeout, in ms; with Node's default of 30 s slow clients would keep their connections. */
const timeoutCheckMillis = 1_000;
/** Maximum total size of the headers, in bytes. */
const maxHeaderBytes = 16 * 1024;
/** Options of the caller server. */
export type CallerServerOptions = {
  readonly front: FrontEndPort;
  readonly clock: Clock;
  readonly meter: Meter;
  readonly limits: InFlightLimiter;
  /** Budget of all request bodies and requests sent ahead; no limit by default. */
  readonly bodies?: ByteBudget;
  /** Maximum number of open connections; no limit by default. */
  readonly maxConnections?: number;
  readonly readMetrics: () => Promise<string>;
  /** Organisations whose callers are served now; undefined if callers need no key. */
  readonly listOrganisations?: (() => OrganisationDirectory) | undefined;
  /** Decides which requests are taken while the node stops; all by default. */
  readonly admission?: Admission;
};

/** Creates the HTTP server for callers. */
export function createCallerServer(options: CallerServerOptions): Server {
  const server = createServer(
    {
      maxHeaderSize: maxHeaderBytes,
      noDelay: true,
      connectionsCheckingInterval: timeoutCheckMillis,
    },
    (request, response) => {
      // Disconnects are handled by the `close` listeners of each request.
      response.on("error", () => {});
      if (options.admission?.admit(request, response) === false) {
        const detail = "The node is stopping and this connection ends";
        return sendRefusal(options, response, refuse("draining", detail));
      }
      if (ahead?.admit(request, response) === false) return;
      void handleRequest(options, request, response);
    },
  );
  const ahead = limitRequestsAhead(server, options);
  server.headersTimeout = headersTimeoutMillis;
  server.requestTimeout = 0;
  server.maxConnections = options.maxConnections ?? Number.POSITIVE_INFINITY;
  server.on("drop", () => options.meter.count("refused_connections_total"));
  return server;
}

/** Limits the requests that a connection sends ahead, as part of the budget of bodies. */
function limitRequestsAhead(
  server: Server,
  { bodies, clock, meter }: CallerServerOptions,
): RequestsAhead | undefined {
  if (bodies === undefined) return undefined;
  return RequestsAhead.create({
    budget: bodies,
    pacer: ReadPacer.create(server, clock),
    onCut: () => meter.count("callers_turned_away_total", { reason: "ahead" }),
  });
}

async function handleRequest(
  options: CallerServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const path = request.url ?? "/";
  if (request.method === "GET" && !path.startsWith("/services/")) {
    return handleGet(options, request, response);
  }
  const kind = findDraftKind(request.method, path);
  if (kind === undefined && !path.startsWith("/services/")) {
    return writeRefusal(
      response,
      refuse("unknownPath", `Unknown call: ${request.method} ${path}`),
    );
  }
  const headers = parseCallHeaders(request.headers).chain((call) =>
    identifyCaller(request.rawHeaders, options.listOrganisations?.()).map(
      (customer) => (customer === undefined ? call : { ...call, customer }),
    ),
  );
  if (headers.isLeft())
    return sendRefusal(options, response, headers.extract());
  const call = headers.extract() as CallHeaders;
  const caller = request.socket.remoteAddress ?? "";
  const refusal = options.limits.acquire(caller);
  if (refusal !== undefined) {
    return sendRefusal(options, response, refusal, call);
  }
  onExchangeEnd(request, response, () => options.limits.leave(caller));
  const budget = options.bodies;
  const body = await readBody(request, {
    clock: options.clock,
    stopping: options.admission?.stopping,
    room: budget && { budget, response },
  });
  if (body.isLeft()) {
    response.setHeader("connection", "close");
    return sendRefusal(options, response, body.extract(), call);
  }
  const bytes = body.extract() as Buffer;
  if (kind === undefined) {
    return handleServiceCall(options, { request, response, call, bytes });
  }
  parseDraftBody(bytes, kind).caseOf<void>({
    Left: (refusal) => sendRefusal(options, response, refusal, call),
    Right: (draft) =>
      handleDraft(options, { request, response, call, draft, kind }),
  });
}

function findDraftKind(
  method: string | undefined,
  path: string,
): "chat" | "completion" | undefined {
  if (method !== "POST") return undefined;
  if (path === "/v1/chat/completions") return "chat";
  return path === "/v1/completions" ? "completion" : undefined;
}

function sendRefusal(
  options: CallerServerOptions,
  response: ServerResponse,
  refusal: unknown,
  call?: CallHeaders,
): void {
  const { code } = refusal as Refusal;
  options.meter.count("requests_total", { kind: "refused", code });
  writeRefusal(response, refusal as Refusal, call?.requestId);
}

function handleDraft(
  options: CallerServerOptions,
  exchange: {
    request: IncomingMessage;
    response: ServerResponse;
    call: CallHeaders;
    draft: DraftBody;
    kind: "chat" | "completion";
  },
): void {
  const { request, response, call, draft, kind } = exchange;
  const { requestId } = call;
  const writer = draft.stream
    ? createStreamWriter(response, requestId)
    : createCollectingWriter(response, { requestId, kind });
  const control = options.front.openDraft(
    {
      requestId,
      model: draft.model,
      customer: call.customer,
      priority: call.priority,
      deadline: call.deadline,
      expectedTokens: draft.expectedTokens,
      path: kind === "chat" ? "/v1/chat/completions" : "/v1/completions",
      encode: draft.encode,
    },
    writer.sink,
  );
  writer.attach(control);
  onExchangeEnd(request, response, () => {
    if (!response.writableFinished) control.cancel();
  });
}

async function handleServiceCall(
  options: CallerServerOptions,
  exchange: {
    request: IncomingMessage;
    response: ServerResponse;
    call: CallHeaders;
    bytes: Buffer;
  },
): Promise<void> {
  const { request, response, call, bytes } = exchange;
  const match = /^\/services\/([^/?]+)(.*)$/.exec(request.url ?? "");
  const rest = match?.[2] ?? "";
  const outcome = await options.front.callService({
    requestId: call.requestId,
    service: brandString(match?.[1] ?? ""),
    method: request.method ?? "GET",
    path: rest.startsWith("/") ? rest : `/${rest}`,
    contentType: request.headers["content-type"],
    body: bytes,
    customer: call.customer,
    idempotencyKey: call.idempotencyKey,
    deadline: call.deadline,
  });
  outcome.caseOf<void>({
    Left: (refusal) => sendRefusal(options, response, refusal, call),
    Right: (result) => {
      options.meter.count("requests_total", { kind: "service", code: "ok" });
      response.writeHead(result.status, {
        "content-length": result.body.length,
        "x-request-id": call.requestId,
        "x-outcome": result.outcome,
        ...(result.contentType === undefined
          ? {}
          : { "content-type": result.contentType }),
        ...(result.replayed ? { "idempotent-replayed": "true" } : {}),
      });
      response.end(result.body);
    },
  });
}

async function handleGet(
  options: CallerServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const { front } = options;
  const path = request.url ?? "/";
  switch (path) {
    case "/healthz":
      return writeJson(response, { status: 200, value: { status: "ok" } });
    case "/readyz": {
      const refusal = front.checkReadiness();
      if (refusal !== undefined) return writeRefusal(response, refusal);
      return writeJson(response, { status: 200, value: { status: "ready" } });
    }
    case "/metrics": {
      const text = await options.readMetrics();
      response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
      response.end(text);
      return;
    }
    case "/v1/models": {
      const directory = options.listOrganisations?.();
      const caller = identifyCaller(request.rawHeaders, directory);
      if (caller.isLeft())
        return sendRefusal(options, response, caller.extract());
      const data = [...front.listModels()].map((key) => ({
        id: key,
        object: "model",
        owned_by: parseAdapterKey(key).name,
      }));
      return writeJson(response, {
        status: 200,
        value: { object: "list", data },
      });
    }
    default:
      return writeRefusal(
        response,
        refuse("unknownPath", `Unknown call: GET ${path}`),
      );
  }
}
