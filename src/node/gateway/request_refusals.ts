import { millis } from "../../core/clock.ts";
import { type Refusal, refuse } from "../../core/results/refusal.ts";
import type { ModelDemand } from "../../ports/gateway.ts";
import type { AttemptHistory } from "./attempt_history.ts";

/** Earliest useful time to come back after a refusal, in ms. */
const comeBackAfter = millis(400);

/** No server is able to take the request in its time. */
export function refuseWithoutServer(
  history: AttemptHistory,
  demand: ModelDemand | undefined,
): Refusal {
  if (history.runs > 0) {
    const detail = "The answer was lost and no other server can take over";
    return refuse("serviceBroken", detail);
  }
  const code = demand === undefined ? "noServer" : "adapterNotInTime";
  const last = history.lastRefusal;
  const reason =
    last === undefined
      ? ""
      : `; the owner of ${last.server.id}: ${last.reason}`;
  const detail = `No server can take the request in time${reason}`;
  return refuse(code, detail, { retryAfter: comeBackAfter });
}

/** The last send failed and none may follow. */
export function refuseAfterAttempt(
  history: AttemptHistory,
  sendDetail: string,
): Refusal {
  if (history.runs > 0) {
    return refuse("serviceBroken", `The answer was lost: ${sendDetail}`);
  }
  const detail = `Every server rejected the request: ${sendDetail}`;
  return refuse("noServer", detail, { retryAfter: comeBackAfter });
}

/** The longest time that the request may be kept waiting is over. */
export function refuseAtTimeLimit(mayHaveRun: boolean): Refusal {
  const detail = "The time limit of the request is over";
  return mayHaveRun
    ? refuse("serviceTimeout", detail)
    : refuse("noServer", detail, { retryAfter: comeBackAfter });
}

/** The node stops before a server has got the request. */
export function refuseWhileStopping(): Refusal {
  const detail = "The node stops before a server can take the request";
  return refuse("draining", detail, { retryAfter: millis(0) });
}
