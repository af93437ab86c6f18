import {
  type ActorRefFrom,
  fromTransition,
  type TransitionActorLogic,
} from "xstate";
import type { Clock } from "../core/clock.ts";
import type { Decide } from "../core/decision.ts";

/** Actor logic whose transitions are computed by a pure decision function. */
export type DecisionLogic<
  State,
  Event extends { type: string },
> = TransitionActorLogic<State, Event, undefined>;

/** Reference to an actor that runs a decision function. */
export type DecisionActor<State, Event extends { type: string }> = ActorRefFrom<
  DecisionLogic<State, Event>
>;

/** A decision function with the dependencies of the actor that runs it. */
export type DecisionLogicOptions<State, Event, Command> = {
  readonly initial: State;
  readonly decide: Decide<State, Event, Command>;
  /** Executes one command; its results are sent to the actor as events. */
  readonly perform: (command: Command) => void;
  readonly clock: Clock;
};

/**
 * Wraps a decision function as xstate actor logic. Commands are executed in
 * order after the state is stored and in the same event-loop turn, so that a
 * lease check made by the decision is still valid when the order is written.
 */
export function createDecisionLogic<
  State,
  Event extends { type: string },
  Command,
>(
  setup: DecisionLogicOptions<State, Event, Command>,
): DecisionLogic<State, Event> {
  return fromTransition<State, Event, never, undefined>(
    (state, event, scope) => {
      // xstate also passes its internal stop event to transitions.
      if (event.type.startsWith("xstate.")) return state;
      const decision = setup.decide(state, event, setup.clock.now());
      if (decision.commands.length > 0) {
        scope.defer(() => {
          for (const command of decision.commands) setup.perform(command);
        });
      }
      return decision.state;
    },
    setup.initial,
  ) as DecisionLogic<State, Event>;
}
