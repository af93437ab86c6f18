import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import type { Clock } from "../../core/clock.ts";
import { parseHybridTime } from "../../core/observe/hybrid_clock.ts";
import { refuse } from "../../core/results/refusal.ts";
import type { Meter } from "../../ports/journal.ts";
import type { OperatorPort } from "../../ports/operators.ts";
import { readBody } from "../http/body.ts";
import type { Admission } from "../http/listener.ts";
import { writeRefusal } from "../http/responses.ts";
import type { Keyring } from "../keys/keyring.ts";
import type { Timeline } from "../observe/timeline.ts";
import { forwardPath, maxForwardBytes } from "./forward_codec.ts";
import type { ForwardServer } from "./forward_server.ts";
import { operatorRouter } from "./operator_router.ts";
import { SignatureVerifier, signatureHeader } from "./signature.ts";

/** Path prefix of tRPC calls. */
export const trpcPath = "/trpc";
/** Timeout for the headers of a message, in ms. */
const headersTimeoutMillis = 5_000;
/** Interval at which the headers timeout is checked, in ms. */
const timeoutCheckMillis = 1_000;
/** Maximum number of peer and operator connections. */
const maxConnections = 20_000;
/** Maximum size of a tRPC message, in bytes: a sheet of 170,000 adapters. */
const maxOperatorBytes = 64 * 1024 * 1024;

/** Options of {@link createPeerServer}. */
export type PeerServerOptions = {
  readonly forwards: ForwardServer;
  readonly operators: OperatorPort;
  readonly keyring: Keyring;
  readonly clock: Clock;
  readonly timeline: Timeline;
  readonly meter: Meter;
  /** Decides which messages are taken while the node stops; all by default. */
  readonly admission?: Admission;
};

/** Creates the HTTP server for other nodes and operators; it rejects messages without a valid signature. */
export function createPeerServer(options: PeerServerOptions): Server {
  const verifier = SignatureVerifier.create(options);
  const server = createServer(
    { noDelay: true, connectionsCheckingInterval: timeoutCheckMillis },
    (request, response) => {
      response.on("error", () => {});
      if (options.admission?.admit(request, response) === false) return;
      void handleMessage(options, verifier, { request, response });
    },
  );
  server.headersTimeout = headersTimeoutMillis;
  server.requestTimeout = 0;
  server.maxConnections = maxConnections;
  server.on("drop", () => options.meter.count("refused_connections_total"));
  return server;
}

async function handleMessage(
  options: PeerServerOptions,
  verifier: SignatureVerifier,
  exchange: { request: IncomingMessage; response: ServerResponse },
): Promise<void> {
  const { request, response } = exchange;
  const path = request.url ?? "/";
  // The body of an unsigned message is not read, so that an unknown sender cannot fill memory.
  const signature = request.headers[signatureHeader];
  if (typeof signature !== "string") {
    return refuseMessage(options, response, "no signature");
  }
  const maxBytes = path === forwardPath ? maxForwardBytes : maxOperatorBytes;
  const body = await readBody(request, {
    clock: options.clock,
    maxBytes,
    stopping: options.admission?.stopping,
  });
  if (body.isLeft()) {
    response.setHeader("connection", "close");
    return writeRefusal(response, body.extract() as never);
  }
  const bytes = body.extract() as Buffer;
  const method = request.method ?? "GET";
  const reason = verifier.findRejection(
    { method, path, body: bytes },
    signature,
  );
  if (reason !== undefined) return refuseMessage(options, response, reason);
  mergeSenderTime(options.timeline, request.headers["x-hybrid-time"]);
  if (path === forwardPath) return options.forwards.handle(bytes, response);
  if (path.startsWith(`${trpcPath}/`)) {
    return handleOperatorCall(options, { method, path, bytes, response });
  }
  writeRefusal(
    response,
    refuse("unknownPath", `No such call: ${method} ${path}`),
  );
}

function refuseMessage(
  options: PeerServerOptions,
  response: ServerResponse,
  reason: string,
): void {
  options.meter.count("signature_rejected_total", { listener: "peers" });
  options.timeline.record("signatureRejected", { detail: reason });
  response.setHeader("connection", "close");
  writeRefusal(response, refuse("unauthorized", `Message refused: ${reason}`));
}

function mergeSenderTime(
  timeline: Timeline,
  header: string | string[] | undefined,
): void {
  const time = parseHybridTime(typeof header === "string" ? header : undefined);
  if (time !== undefined) timeline.mergeTime(time);
}

async function handleOperatorCall(
  options: PeerServerOptions,
  call: {
    method: string;
    path: string;
    bytes: Buffer;
    response: ServerResponse;
  },
): Promise<void> {
  const { method, path, bytes, response } = call;
  const result = await fetchRequestHandler({
    endpoint: trpcPath,
    req: new Request(`http://node${path}`, {
      method,
      headers: { "content-type": "application/json" },
      ...(method === "GET" ? {} : { body: bytes }),
    }),
    router: operatorRouter,
    createContext: () => options.operators,
  });
  response.writeHead(result.status, { "content-type": "application/json" });
  response.end(await result.text());
}
