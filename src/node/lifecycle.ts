import { setup } from "xstate";

/** Event that the lifecycle of a node handles. */
export type LifecycleEvent =
  | { readonly type: "configured" }
  | { readonly type: "drain" }
  /** All requests have ended, all outcomes are recorded and all engines are released. */
  | { readonly type: "idle" };

/** Callbacks that the lifecycle invokes on entering a phase. */
export type LifecycleActions = {
  readonly onReady: () => void;
  readonly onDrain: () => void;
  readonly onStopped: () => void;
};

/** Creates the state machine of a node: starting until a configuration is in force, then ready, draining, stopped. */
export function createLifecycleMachine(actions: LifecycleActions) {
  return setup({
    types: { events: {} as LifecycleEvent },
    actions: {
      announceReady: () => actions.onReady(),
      startDrain: () => actions.onDrain(),
      finishStop: () => actions.onStopped(),
    },
  }).createMachine({
    id: "lifecycle",
    initial: "starting",
    states: {
      starting: { on: { configured: "ready", drain: "draining" } },
      ready: { entry: "announceReady", on: { drain: "draining" } },
      draining: { entry: "startDrain", on: { idle: "stopped" } },
      stopped: { entry: "finishStop", type: "final" },
    },
  });
}
