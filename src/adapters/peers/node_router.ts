import { initTRPC } from "@trpc/server";
import { createHTTPServer } from "@trpc/server/adapters/standalone";
import { z } from "zod";
import { brandString } from "../../core/ids.ts";
import type { NodeCallHandler } from "../../ports/gateway.ts";

const trpc = initTRPC.context<NodeCallHandler>().create();
const name = z.string().min(1).max(256);

/** tRPC router for the calls that nodes make to engine owners. */
export const nodeRouter = trpc.router({
  acquire: trpc.procedure
    .input(
      z.object({
        engine: name,
        place: name,
        version: z.number().int().min(0),
        wasDenied: z.boolean(),
        patience: z.number().min(0),
      }),
    )
    .mutation(({ ctx, input }) =>
      ctx.acquire({
        engine: brandString(input.engine),
        place: brandString(input.place),
        version: input.version,
        wasDenied: input.wasDenied,
        patience: input.patience,
      }),
    ),
});

/** Type of the router, for clients. */
export type NodeRouter = typeof nodeRouter;

/** Creates the HTTP server for calls between nodes. */
export function createNodeServer(handler: NodeCallHandler) {
  return createHTTPServer({
    router: nodeRouter,
    createContext: () => handler,
  });
}
