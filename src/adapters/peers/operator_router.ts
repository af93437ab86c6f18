import { initTRPC, TRPCError } from "@trpc/server";
import type { Either } from "purify-ts";
import { z } from "zod";
import { resultCodes } from "../../core/results/codes.ts";
import type { Refusal } from "../../core/results/refusal.ts";
import type { OperatorPort } from "../../ports/operators.ts";

/** Maximum number of timeline events in one response. */
const maxTimelineEntries = 20_000;
/** Maximum number of history records in one response. */
const maxHistoryRecords = 1_000;

const trpc = initTRPC.context<OperatorPort>().create();
const text = z.string().min(1).max(256);

/** tRPC router for operator calls and for configuration fetches of other nodes. */
export const operatorRouter = trpc.router({
  status: trpc.procedure.query(({ ctx }) => ctx.status()),
  timeline: trpc.procedure
    .input(
      z.strictObject({
        requestId: text.optional(),
        adapter: text.optional(),
        engine: text.optional(),
        withinMs: z.number().positive().optional(),
        limit: z.number().int().min(1).max(maxTimelineEntries).default(1_000),
      }),
    )
    .query(({ ctx, input }) => ctx.timeline(input)),
  drain: trpc.procedure
    .input(z.strictObject({ operator: text }))
    .mutation(({ ctx, input }) => {
      ctx.drain(input.operator);
      return { phase: ctx.status().phase };
    }),
  applySheet: trpc.procedure
    .input(
      z.strictObject({
        base: z.number().int().min(0),
        sheet: z.unknown(),
        operator: text,
        attempt: text,
      }),
    )
    .mutation(async ({ ctx, input }) =>
      unwrap(await ctx.applySheet({ ...input, sheet: input.sheet })),
    ),
  history: trpc.procedure
    .input(
      z.strictObject({
        limit: z.number().int().min(1).max(maxHistoryRecords).default(20),
      }),
    )
    .query(async ({ ctx, input }) => unwrap(await ctx.history(input.limit))),
  exportConfiguration: trpc.procedure
    .input(z.strictObject({ after: z.number().int().min(0) }))
    .query(({ ctx, input }) =>
      ctx
        .exportConfiguration(input.after)
        .map((bytes) => Buffer.from(bytes).toString("base64")),
    ),
  showSheet: trpc.procedure.query(({ ctx }) => unwrap(ctx.showSheet())),
});

/** Type of the router, for clients. */
export type OperatorRouter = typeof operatorRouter;

/** Returns the value, or throws a tRPC error with the refusal's number, code, remedy and outcome. */
function unwrap<T>(result: Either<Refusal, T>): T {
  return result.caseOf({
    Left: (refusal) => {
      const { number, remedy } = resultCodes[refusal.code];
      throw new TRPCError({
        code: refusal.code === "revisionConflict" ? "CONFLICT" : "BAD_REQUEST",
        message: `${number} ${refusal.code}: ${refusal.detail} (${remedy}; outcome: ${refusal.outcome})`,
      });
    },
    Right: (value) => value,
  });
}
