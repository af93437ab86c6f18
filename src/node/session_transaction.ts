import type { DataCentre, NodeId } from "../core/ids.ts";
import { engineKey, sessionKey } from "../core/lease/rows.ts";
import type { Attempt } from "../core/lease/state.ts";
import type { Condition, RowWrite, Transaction } from "../ports/table.ts";

/** Node that makes the attempt, and its data centre. */
type AttemptContext = {
  readonly node: NodeId;
  readonly dataCentre: DataCentre;
};

/** Builds the table transaction for one attempt of the session. */
export function buildTransaction(
  attempt: Attempt,
  context: AttemptContext,
): Transaction {
  const { node, dataCentre } = context;
  const { lease } = attempt;
  const own = sessionKey(node);
  const conditions = new Map([[own, attempt.version]]);
  const writes: RowWrite[] = [
    { key: own, value: attempt.last ? undefined : { lease, dataCentre } },
  ];
  for (const { engine, version, fence, basis } of attempt.claims) {
    const key = engineKey(engine);
    conditions.set(key, version);
    // Fails the claim if the owner has created a new session since its row was read.
    if (basis !== undefined) {
      conditions.set(sessionKey(basis.node), basis.version);
    }
    writes.push({ key, value: { owner: node, lease, fence, handed: false } });
  }
  for (const {
    engine,
    version,
    fence,
    successor,
    settled,
  } of attempt.handovers) {
    const key = engineKey(engine);
    conditions.set(key, version);
    const owner = successor?.node ?? null;
    const successorLease = successor?.lease ?? null;
    writes.push({
      key,
      value: { owner, lease: successorLease, fence, handed: settled },
    });
  }
  for (const removal of attempt.removals) {
    conditions.set(sessionKey(removal.node), removal.version);
    writes.push({ key: sessionKey(removal.node), value: undefined });
  }
  return {
    attempt: attempt.token,
    conditions: [...conditions].map(
      ([key, version]): Condition => ({ key, version }),
    ),
    writes,
  };
}
