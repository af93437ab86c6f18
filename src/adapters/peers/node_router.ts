import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { z } from "zod";
import { millis } from "../../core/clock.ts";
import {
  type AdapterName,
  brandString,
  type OrganisationName,
  type RequestId,
  type ServiceName,
} from "../../core/ids.ts";
import type { DryRunHandler } from "../../ports/dry_runs.ts";
import { ignoreFailures, type ReportFailure } from "../../ports/failures.ts";
import type { NodeCallHandler } from "../../ports/nodes.ts";
import type { RowServer } from "../../ports/rows.ts";
import { encodeDelivery, positionFrame } from "./row_frames.ts";

/** What a node does for the other nodes. */
export type NodeService = NodeCallHandler & RowServer & DryRunHandler;

const trpc = initTRPC.context<NodeService>().create();
const position = positionFrame.optional();
const name = z.string().min(1).max(256);
/** Maximum number of nodes that a request for a permit passes over. */
const maxSkippedNodes = 16;

/** Maximum length of the path of a request, in characters. */
const maxPathLength = 8_192;

/** tRPC router for the calls between nodes. */
export const nodeRouter = trpc.router({
  followRows: trpc.procedure
    .input(
      z.object({
        positions: z.object({
          operator: position,
          servers: position,
          nodes: position,
        }),
        wait: z.number().min(0),
      }),
    )
    .mutation(async ({ ctx, input }) =>
      (await ctx.serve(input)).map(encodeDelivery),
    ),
  requestModel: trpc.procedure
    .input(
      z.object({
        engine: name,
        model: name,
        requests: z.number().int().min(0),
      }),
    )
    .mutation(({ ctx, input }) =>
      ctx.requestModel({
        engine: brandString(input.engine),
        model: brandString(input.model),
        requests: input.requests,
      }),
    ),
  requestPermit: trpc.procedure
    .input(
      z.object({
        from: name,
        server: z.object({ id: name, born: z.number().int().optional() }),
        rate: z.number().positive(),
        age: z.number().min(0),
        patience: z.number().min(0),
        except: z.array(name).max(maxSkippedNodes),
      }),
    )
    .mutation(({ ctx, input }) =>
      ctx.requestPermit({
        from: brandString(input.from),
        server: { id: brandString(input.server.id), born: input.server.born },
        rate: input.rate,
        age: millis(input.age),
        patience: millis(input.patience),
        except: input.except.map((machine) => brandString(machine)),
      }),
    ),
  findStream: trpc.procedure
    .input(z.object({ id: name, service: name }))
    .mutation(async ({ ctx, input }) => {
      const id = brandString<RequestId>(input.id);
      const service = brandString<ServiceName>(input.service);
      return (await ctx.findStream({ id, service })) ?? null;
    }),
  dryRun: trpc.procedure
    .input(
      z.object({
        host: name,
        path: z.string().min(1).max(maxPathLength),
        organisation: name.optional(),
        demand: z
          .object({
            model: name,
            adapter: name.optional(),
            promptTokens: z.number().int().min(0),
            answerTokens: z.number().int().min(0),
          })
          .optional(),
      }),
    )
    .query(({ ctx, input }) => {
      const { host, path, organisation, demand } = input;
      return ctx.dryRun({
        host,
        path,
        organisation: organisation
          ? brandString<OrganisationName>(organisation)
          : undefined,
        demand: demand && {
          ...demand,
          model: brandString(demand.model),
          adapter: demand.adapter
            ? brandString<AdapterName>(demand.adapter)
            : undefined,
        },
      });
    }),
  acquire: trpc.procedure
    .input(
      z.object({
        from: name,
        engine: name,
        place: name,
        version: z.number().int().min(0),
        wasDenied: z.boolean(),
        patience: z.number().min(0),
        urgency: z
          .object({ level: z.number().min(0), delay: z.number() })
          .optional(),
      }),
    )
    .mutation(({ ctx, input }) =>
      ctx.acquire({
        from: brandString(input.from),
        engine: brandString(input.engine),
        place: brandString(input.place),
        version: input.version,
        wasDenied: input.wasDenied,
        patience: input.patience,
        urgency: input.urgency,
      }),
    ),
});

/** Type of the router, for clients. */
export type NodeRouter = typeof nodeRouter;

/** Serves a request if it is none of the calls between nodes; returns whether it is served. */
export type ServeOther = (
  message: IncomingMessage,
  response: ServerResponse,
) => boolean;

/** Creates the HTTP server for calls between nodes; a call that fails is answered with an error and reported. */
export function createNodeServer(
  handler: NodeService,
  reportFailure: ReportFailure = ignoreFailures,
  serveOther: ServeOther = () => false,
): Server {
  const handleCall = createHTTPHandler({
    router: nodeRouter,
    createContext: () => handler,
    onError: ({ error }) => {
      // Other codes are faults of the call.
      if (error.code === "INTERNAL_SERVER_ERROR")
        reportFailure("nodeCall", error.cause ?? error);
    },
  });
  return createServer((message, response) => {
    if (!serveOther(message, response)) handleCall(message, response);
  });
}
