import { createTRPCClient, httpLink, TRPCClientError } from "@trpc/client";
import { type Either, Left, Right } from "purify-ts";
import type { DryRun, DryRunQuery } from "../../core/gateway/dry_run.ts";
import type { NodeRouter } from "./node_router.ts";

/** Timeout of a dry run, in ms; it is answered from memory. */
const timeoutMillis = 3_000;

/** Why a node described no dry run: it does not answer, it is of an older version, or it failed. */
export type DryRunFailure = {
  readonly kind: "unreachable" | "unsupported" | "failed";
  readonly detail: string;
};

/** Asks a node where a request would go now. */
export async function requestDryRun(
  address: string,
  query: DryRunQuery,
): Promise<Either<DryRunFailure, DryRun>> {
  const client = createTRPCClient<NodeRouter>({
    links: [httpLink({ url: `http://${address}` })],
  });
  const signal = AbortSignal.timeout(timeoutMillis);
  try {
    return Right(await client.dryRun.query(query, { signal }));
  } catch (error) {
    return Left(describeFailure(error));
  }
}

function describeFailure(error: unknown): DryRunFailure {
  const detail = error instanceof Error ? error.message : String(error);
  if (!(error instanceof TRPCClientError)) return { kind: "failed", detail };
  // Without an answer of the router there is no code.
  const code: unknown = error.data?.code;
  if (code === undefined) return { kind: "unreachable", detail };
  return { kind: code === "NOT_FOUND" ? "unsupported" : "failed", detail };
}
