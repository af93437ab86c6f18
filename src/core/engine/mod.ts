export { createEngineDecision } from "./decision.ts";
export type * from "./messages.ts";
export {
  baselineEnginePolicies,
  defaultEnginePolicies,
  type EnginePolicies,
} from "./policies.ts";
export { createEngineState, type EngineState } from "./state.ts";
export type { Priority, Work } from "./work.ts";
