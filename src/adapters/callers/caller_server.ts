import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Clock } from "../../core/clock.ts";
import { brandString, parseAdapterKey } from "../../core/ids.ts";
import { type Refusal, refuse } from "../../core/results/refusal.ts";
import type { FrontEndPort } from "../../ports/front_end.ts";
import type { Meter } from "../../ports/journal.ts";
import { writeJson, writeRefusal } from "../http/answers.ts";
import { readBody } from "../http/body.ts";
import { createCollectingWriter, createStreamWriter } from "./answer_stream.ts";
import { type CallHeaders, parseCallHeaders } from "./call_headers.ts";
import { type DraftBody, parseDraftBody } from "./draft_body.ts";
import type { InFlightLimits } from "./in_flight.ts";

/** Time for the headers of a request to arrive, in ms. */
const headersDeadlineMillis = 5_000;
/** Time between checks of that deadline, in ms; Node's default of 30 s would let slow senders stay. */
const deadlineCheckMillis = 1_000;
/** Largest size of all headers, in bytes. */
const maxHeaderBytes = 16 * 1024;
/** Open caller connections. */
const maxConnections = 10_000;

/** What the caller listener needs. */
export type CallerServerOptions = {
  readonly front: FrontEndPort;
  readonly clock: Clock;
  readonly meter: Meter;
  readonly limits: InFlightLimits;
  readonly readMetrics: () => Promise<string>;
};

/** HTTP server towards callers. */
export function createCallerServer(options: CallerServerOptions): Server {
  const server = createServer(
    {
      maxHeaderSize: maxHeaderBytes,
      noDelay: true,
      connectionsCheckingInterval: deadlineCheckMillis,
    },
    (request, response) => {
      // A caller that disconnects is handled where its request is served.
      response.on("error", () => {});
      void handleRequest(options, request, response);
    },
  );
  server.headersTimeout = headersDeadlineMillis;
  server.requestTimeout = 0;
  server.maxConnections = maxConnections;
  server.on("drop", () => options.meter.count("refused_connections_total"));
  return server;
}

async function handleRequest(
  options: CallerServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const path = request.url ?? "/";
  if (request.method === "GET" && !path.startsWith("/services/")) {
    return answerGet(options, path, response);
  }
  const kind = findDraftKind(request.method, path);
  if (kind === undefined && !path.startsWith("/services/")) {
    return writeRefusal(
      response,
      refuse("unknownPath", `No call ${request.method} ${path}`),
    );
  }
  const headers = parseCallHeaders(request.headers);
  if (headers.isLeft()) return refuseCall(options, response, headers.extract());
  const call = headers.extract() as CallHeaders;
  const caller = request.socket.remoteAddress ?? "";
  const refusal = options.limits.enter(caller);
  if (refusal !== undefined) {
    return refuseCall(options, response, refusal, call);
  }
  response.on("close", () => options.limits.leave(caller));
  const body = await readBody(request, { clock: options.clock });
  if (body.isLeft()) {
    response.setHeader("connection", "close");
    return refuseCall(options, response, body.extract(), call);
  }
  const bytes = body.extract() as Buffer;
  if (kind === undefined) {
    return answerService(options, { request, response, call, bytes });
  }
  parseDraftBody(bytes, kind).caseOf<void>({
    Left: (fault) => refuseCall(options, response, fault, call),
    Right: (draft) => answerDraft(options, { response, call, draft, kind }),
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

function refuseCall(
  options: CallerServerOptions,
  response: ServerResponse,
  refusal: unknown,
  call?: CallHeaders,
): void {
  const { code } = refusal as Refusal;
  options.meter.count("requests_total", { kind: "refused", code });
  writeRefusal(response, refusal as Refusal, call?.requestId);
}

function answerDraft(
  options: CallerServerOptions,
  exchange: {
    response: ServerResponse;
    call: CallHeaders;
    draft: DraftBody;
    kind: "chat" | "completion";
  },
): void {
  const { response, call, draft, kind } = exchange;
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
  response.on("close", () => {
    if (!response.writableFinished) control.cancel();
  });
}

async function answerService(
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
  const answer = await options.front.callService({
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
  answer.caseOf<void>({
    Left: (refusal) => refuseCall(options, response, refusal, call),
    Right: (booked) => {
      options.meter.count("requests_total", { kind: "service", code: "ok" });
      response.writeHead(booked.status, {
        "content-length": booked.body.length,
        "x-request-id": call.requestId,
        "x-outcome": booked.outcome,
        ...(booked.contentType === undefined
          ? {}
          : { "content-type": booked.contentType }),
        ...(booked.replayed ? { "idempotent-replayed": "true" } : {}),
      });
      response.end(booked.body);
    },
  });
}

async function answerGet(
  options: CallerServerOptions,
  path: string,
  response: ServerResponse,
): Promise<void> {
  const { front } = options;
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
        refuse("unknownPath", `No call GET ${path}`),
      );
  }
}
