import { type Millis, millis } from "../clock.ts";
import type { EngineId } from "../ids.ts";
import type {
  OwnershipEvent,
  Predecessor,
  SessionCommand,
  SessionState,
} from "./state.ts";

/** Times until which the node may send orders to an owned engine; see design 5.2. */
function describeOwnership(
  state: SessionState,
  engine: EngineId,
): OwnershipEvent | undefined {
  const owned = state.owned.get(engine);
  if (owned === undefined) return undefined;
  const { margin, duration } = state.settings;
  const orderUntil = millis(state.leaseEnd - margin);
  // An engine that checks fencing numbers refuses an earlier owner itself. On
  // other engines a new owner waits for one lease, the margin and the longest
  // order after its takeover before it evicts. It cannot have taken over before
  // this lease ended, nor while no node of the data centre reached the table.
  const noTakeoverBefore = Math.max(
    state.leaseEnd,
    state.outageConfirmedAt - margin,
  );
  const outageEnd =
    state.engines.get(engine) === "checked"
      ? Number.POSITIVE_INFINITY
      : noTakeoverBefore + duration;
  return {
    type: "ownership",
    fence: owned.fence,
    orderUntil,
    dispatchUntil: state.failing ? millis(outageEnd) : orderUntil,
    settledAt: owned.settledAt,
  };
}

/** Reports for every owned engine how long the node may send orders to it. */
export function reportOwnership(
  state: SessionState,
  commands: SessionCommand[],
): void {
  for (const engine of state.owned.keys()) {
    const event = describeOwnership(state, engine);
    if (event !== undefined) commands.push({ type: "report", engine, event });
  }
}

/** Time before which a new owner evicts nothing. */
export function computeSettledAt(
  state: SessionState,
  engine: EngineId,
  options: { predecessor: Predecessor; now: Millis },
): Millis {
  const { now, predecessor } = options;
  const { duration, margin, orderTimeout } = state.settings;
  if (state.engines.get(engine) === "checked") return now;
  if (predecessor === "none") return now;
  if (predecessor === "stopped") return millis(now + orderTimeout);
  return millis(now + duration + margin + orderTimeout);
}
