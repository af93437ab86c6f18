import type { DryRun, DryRunQuery } from "../core/gateway/dry_run.ts";

/** Describes where a request would go now, without sending it. */
export type DryRunHandler = {
  dryRun(query: DryRunQuery): DryRun;
};
