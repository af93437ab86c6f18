import type { DataCentre, NodeId } from "../core/ids.ts";
import { engineKey, sessionKey } from "../core/lease/rows.ts";
import type { Attempt } from "../core/lease/state.ts";
import type { Condition, RowWrite, Transaction } from "../ports/table.ts";

/** Whose attempt it is, and what is written with it. */
type AttemptContext = {
  readonly node: NodeId;
  readonly dataCentre: DataCentre;
};

/** Writes an attempt of the session as one transaction. */
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
    // The owner may have a new session since its row was read.
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
    const heir = successor?.lease ?? null;
    writes.push({ key, value: { owner, lease: heir, fence, handed: settled } });
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
