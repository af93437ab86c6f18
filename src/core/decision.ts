import type { Millis } from "./clock.ts";

/** Next state and the commands that the owner of the state carries out. */
export type Decision<State, Command> = {
  readonly state: State;
  readonly commands: readonly Command[];
};

/**
 * Decision function without side effects outside the state. The caller does not
 * use the state that it passed in afterwards, so that large maps may be updated
 * in place instead of being copied per event.
 */
export type Decide<State, Event, Command> = (
  state: State,
  event: Event,
  now: Millis,
) => Decision<State, Command>;
