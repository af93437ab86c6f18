export { createEngineDecision } from "./decision.ts";
export {
  createHealth,
  type Health,
  type HealthSample,
  observeHealth,
} from "./health.ts";
export type * from "./messages.ts";
export {
  baselineEnginePolicies,
  defaultEnginePolicies,
  type EnginePolicies,
} from "./policies.ts";
export { createEngineState, type EngineState } from "./state.ts";
export { type EngineSummary, summarizeEngine } from "./summary.ts";
export type { Priority, WorkItem } from "./work_item.ts";
