import { setup } from "xstate";

/** Message to the lifecycle of a node. */
export type LifecycleEvent =
  | { readonly type: "configured" }
  | { readonly type: "drain" }
  /** No request, outcome or duty is left. */
  | { readonly type: "idle" };

/** What the lifecycle starts on entering a phase. */
export type LifecycleActions = {
  readonly onReady: () => void;
  readonly onDrain: () => void;
  readonly onStopped: () => void;
};

/** Phases of a node: not ready without a configuration, then ready, draining, stopped. */
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
