import type { EngineFailure } from "../../ports/engine.ts";

/** Status codes with which an engine states why it did not run an order. */
const failureKindByStatus: Readonly<Record<number, EngineFailure["kind"]>> = {
  404: "adapter-missing",
  409: "stale-fence",
  410: "leaving",
};

/** Status codes after which the order may have run. */
const uncertainStatuses: ReadonlySet<number> = new Set([408, 499]);

/** Classifies a response other than 200; `refused` only if the engine guarantees that nothing ran. */
export function classifyRefusal(response: {
  readonly status: number;
  readonly text: string;
}): EngineFailure {
  const { status, text } = response;
  const detail = `Status ${status}: ${text}`;
  const certainlyNotRun =
    status === 503 ||
    (status >= 400 && status < 500 && !uncertainStatuses.has(status));
  if (!certainlyNotRun) return { kind: "broken", detail };
  return { kind: failureKindByStatus[status] ?? "refused", detail };
}
