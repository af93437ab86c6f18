import { recordMissing } from "../../../core/gateway/adapter_directory.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import { formatModelAdapterKey } from "../../../core/ids.ts";
import type { ModelDemand } from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import { recordAttemptHealth } from "./attempt_health.ts";
import type { AttemptHistory } from "./attempt_history.ts";
import type { PoisonAdmission } from "./poison_admission.ts";
import type { RequestLog } from "./request_log.ts";
import type { AttemptResult } from "./server_attempt.ts";

/** What learns of the failed attempts of a request. */
export type FailureRecipients = {
  readonly context: GatewayContext;
  readonly demand: ModelDemand | undefined;
  readonly history: AttemptHistory;
  readonly prompt: PoisonAdmission;
  readonly log: RequestLog;
};

/** Records a failed attempt where the next ones, and those of other requests, look for it. */
export function recordFailedAttempt(
  attempt: AttemptResult,
  server: BackendServer,
  { context, demand, history, prompt, log }: FailureRecipients,
): void {
  const { kind } = attempt.end;
  log.record("requestSendFailed", {
    server,
    detail: `${kind}: ${attempt.detail}`,
    ...history.counts,
  });
  // Engines also reject what exceeds their memory as if they were full; other
  // requests must not wait for that.
  const mayBeTooLarge = demand !== undefined && history.rejections > 0;
  history.recordAttemptEnd(kind, server.id);
  prompt.recordFailure(attempt, server);
  if (kind === "misdirected") forgetAdapter(context, demand, server);
  if (recordAttemptHealth(context, server, { kind, mayBeTooLarge }))
    log.record("serverSuspended", { server, detail: kind });
}

function forgetAdapter(
  { adapterDirectory }: GatewayContext,
  demand: ModelDemand | undefined,
  server: BackendServer,
): void {
  if (demand?.adapter === undefined) return;
  const key = formatModelAdapterKey(demand.model, demand.adapter);
  recordMissing(adapterDirectory, server.id, key);
}
