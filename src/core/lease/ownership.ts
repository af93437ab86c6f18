import { type Millis, millis } from "../clock.ts";
import type { EngineId } from "../ids.ts";
import type {
  OwnershipEvent,
  Predecessor,
  SessionCommand,
  SessionState,
} from "./state.ts";

/** Validity of the orders for an owned engine; see design 5.2. */
function describeOwnership(
  state: SessionState,
  engine: EngineId,
): OwnershipEvent | undefined {
  const owned = state.owned.get(engine);
  if (owned === undefined) return undefined;
  const { margin, duration } = state.settings;
  const orderUntil = millis(state.leaseEnd - margin);
  // An engine that checks fencing numbers refuses an old owner itself. Where
  // it does not, a new owner evicts at the earliest one lease, the margin and
  // the longest order after it took over. It cannot have taken over before
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

/** Reports the validity of the orders for every owned engine. */
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
  const { duration, margin, orderTimeout: orderDeadline } = state.settings;
  if (state.engines.get(engine) === "checked") return now;
  if (predecessor === "none") return now;
  if (predecessor === "stopped") return millis(now + orderDeadline);
  return millis(now + duration + margin + orderDeadline);
}
