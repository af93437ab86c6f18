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
import { writeRefusal } from "../http/answers.ts";
import { readBody } from "../http/body.ts";
import type { Keyring } from "../keys/keyring.ts";
import type { Timeline } from "../observe/timeline.ts";
import { forwardPath, maxForwardBytes } from "./forward_codec.ts";
import type { ForwardServer } from "./forward_server.ts";
import { operatorRouter } from "./operator_router.ts";
import { SignatureVerifier, signatureHeader } from "./signature.ts";

/** Start of the paths served by trpc. */
export const trpcPath = "/trpc";
/** Time for the headers of a message to arrive, in ms. */
const headersDeadlineMillis = 5_000;
/** Time between checks of that deadline, in ms. */
const deadlineCheckMillis = 1_000;
/** Open peer and operator connections. */
const maxConnections = 20_000;
/** Largest trpc message, in bytes: a sheet of 170,000 adapters. */
const maxOperatorBytes = 64 * 1024 * 1024;

/** What the peer listener needs. */
export type PeerServerOptions = {
  readonly forwards: ForwardServer;
  readonly operators: OperatorPort;
  readonly keyring: Keyring;
  readonly clock: Clock;
  readonly timeline: Timeline;
  readonly meter: Meter;
};

/** HTTP server towards other nodes and operators; refuses what is not signed. */
export function createPeerServer(options: PeerServerOptions): Server {
  const verifier = SignatureVerifier.create(options);
  const server = createServer(
    { noDelay: true, connectionsCheckingInterval: deadlineCheckMillis },
    (request, response) => {
      response.on("error", () => {});
      void handleMessage(options, verifier, { request, response });
    },
  );
  server.headersTimeout = headersDeadlineMillis;
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
  // Without a signature header nothing is read, so that a stranger cannot fill memory.
  const signature = request.headers[signatureHeader];
  if (typeof signature !== "string") {
    return refuseMessage(options, response, "no signature");
  }
  const maxBytes = path === forwardPath ? maxForwardBytes : maxOperatorBytes;
  const body = await readBody(request, { clock: options.clock, maxBytes });
  if (body.isLeft()) {
    return writeRefusal(response, body.extract() as never);
  }
  const bytes = body.extract() as Buffer;
  const method = request.method ?? "GET";
  const fault = verifier.findRejection(
    { method, path, body: bytes },
    signature,
  );
  if (fault !== undefined) return refuseMessage(options, response, fault);
  hearTime(options.timeline, request.headers["x-hybrid-time"]);
  if (path === forwardPath) return options.forwards.handle(bytes, response);
  if (path.startsWith(`${trpcPath}/`)) {
    return answerOperator(options, { method, path, bytes, response });
  }
  writeRefusal(response, refuse("unknownPath", `No call ${method} ${path}`));
}

function refuseMessage(
  options: PeerServerOptions,
  response: ServerResponse,
  fault: string,
): void {
  options.meter.count("signature_rejected_total", { listener: "peers" });
  options.timeline.record("signatureRejected", { detail: fault });
  response.setHeader("connection", "close");
  writeRefusal(response, refuse("unauthorized", `Message refused: ${fault}`));
}

function hearTime(
  timeline: Timeline,
  header: string | string[] | undefined,
): void {
  const time = parseHybridTime(typeof header === "string" ? header : undefined);
  if (time !== undefined) timeline.mergeTime(time);
}

async function answerOperator(
  options: PeerServerOptions,
  call: {
    method: string;
    path: string;
    bytes: Buffer;
    response: ServerResponse;
  },
): Promise<void> {
  const { method, path, bytes, response } = call;
  const answer = await fetchRequestHandler({
    endpoint: trpcPath,
    req: new Request(`http://node${path}`, {
      method,
      headers: { "content-type": "application/json" },
      ...(method === "GET" ? {} : { body: bytes }),
    }),
    router: operatorRouter,
    createContext: () => options.operators,
  });
  response.writeHead(answer.status, { "content-type": "application/json" });
  response.end(await answer.text());
}
