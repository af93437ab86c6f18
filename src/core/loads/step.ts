import type { Millis } from "../clock.ts";
import type { Decision } from "../decision.ts";
import type { LoadLimits } from "./limits.ts";
import type { LoadBudgetCommand } from "./messages.ts";
import type { LoadBudgetState } from "./state.ts";

/** What varies between installations and tests. */
export type LoadBudgetPolicies = {
  readonly limits: LoadLimits;
  /** Random numbers from 0 to 1 for jitter. */
  readonly random: () => number;
};

/** Part of a decision: the state after it and the commands it gives. */
export type Step = Decision<LoadBudgetState, LoadBudgetCommand>;

/** What the parts of a decision depend on besides state and event. */
export type StepOptions = LoadBudgetPolicies & { readonly now: Millis };

/** Step without commands. */
export function withoutCommands(state: LoadBudgetState): Step {
  return { state, commands: [] };
}
