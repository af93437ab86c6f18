import type { Millis } from "./clock.ts";

/** Next state and the commands that the owner of the state must perform. */
export type Decision<State, Command> = {
  readonly state: State;
  readonly commands: readonly Command[];
};

/**
 * Pure decision function. The caller gives up the state that it passes in, so
 * that large maps may be updated in place instead of being copied per event.
 */
export type Decide<State, Event, Command> = (
  state: State,
  event: Event,
  now: Millis,
) => Decision<State, Command>;
