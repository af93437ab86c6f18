import type { Millis } from "../clock.ts";
import type { Decision } from "../decision.ts";
import type { LoadLimits } from "./limits.ts";
import type { LoadBudgetCommand } from "./messages.ts";
import type { LoadBudgetState } from "./state.ts";

/** Limits and random source of the load budget, which vary between installations and tests. */
export type LoadBudgetPolicies = {
  readonly limits: LoadLimits;
  /** Random numbers from 0 to 1 for jitter. */
  readonly random: () => number;
};

/** Partial result of a decision: the next state and the commands so far. */
export type Step = Decision<LoadBudgetState, LoadBudgetCommand>;

/** Policies and time of one decision. */
export type StepOptions = LoadBudgetPolicies & { readonly now: Millis };

/** Creates a step without commands. */
export function withoutCommands(state: LoadBudgetState): Step {
  return { state, commands: [] };
}
