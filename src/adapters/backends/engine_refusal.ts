import type { EngineFailure } from "../../ports/engine.ts";

/** Statuses of an engine that say why it did not run an order. */
const failureKindByStatus: Readonly<Record<number, EngineFailure["kind"]>> = {
  404: "adapter-missing",
  409: "stale-fence",
  410: "leaving",
};

/** Statuses that promise nothing about whether the order ran. */
const uncertainStatuses: ReadonlySet<number> = new Set([408, 499]);

/** Classifies an answer other than 200; `refused` only where the engine promises that nothing ran. */
export function classifyRefusal(answer: {
  readonly status: number;
  readonly text: string;
}): EngineFailure {
  const { status, text } = answer;
  const detail = `Status ${status}: ${text}`;
  const certainlyNotRun =
    status === 503 ||
    (status >= 400 && status < 500 && !uncertainStatuses.has(status));
  if (!certainlyNotRun) return { kind: "broken", detail };
  return { kind: failureKindByStatus[status] ?? "refused", detail };
}
