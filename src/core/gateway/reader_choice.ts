import { type Millis, millis } from "../clock.ts";
import type { DataCentre, MachineName } from "../ids.ts";
import { rankByRendezvous } from "../lease/rendezvous.ts";

/** Why a node is not read from for a time. */
export type ReaderFault = "unreachable" | "stale";

/** A node that may read for others. */
export type ReaderNode = {
  readonly machine: MachineName;
  readonly dataCentre: DataCentre;
};

type Suspicion = { readonly until: Millis; readonly failures: number };

/**
 * Which node of a data centre reads the table service for the others; owned by
 * one task and updated in place.
 */
export type ReaderChoice = {
  readonly machine: MachineName;
  readonly dataCentre: DataCentre;
  readonly suspicions: Map<MachineName, Suspicion>;
  /** Nodes of the data centre that precede this one, first reader first. */
  candidates: readonly MachineName[];
  /** All known nodes. */
  nodes: readonly ReaderNode[];
};

/** Number of nodes that one node tries before it reads for itself. */
const maxCandidates = 3;
/** Time for which a node that did not answer is not tried again; doubles with each failure, in ms. */
const minUnreachableTime = 3_000;
const maxUnreachableTime = 60_000;
/** Time for which a node that has lost the table service is not tried again, in ms. */
const staleTime = 1_500;

/** Creates the state of a node that knows no other. */
export function createReaderChoice(identity: {
  readonly machine: MachineName;
  readonly dataCentre: DataCentre;
}): ReaderChoice {
  const { machine, dataCentre } = identity;
  return {
    machine,
    dataCentre,
    suspicions: new Map(),
    candidates: [],
    nodes: [],
  };
}

/**
 * Sets the known nodes. All nodes rank those of a data centre alike, and a node
 * waits only for those before it, so that no two nodes wait for each other.
 */
export function setReaderCandidates(
  choice: ReaderChoice,
  nodes: readonly ReaderNode[],
): void {
  choice.nodes = nodes;
  const ranked = rankLocalNodes(choice);
  choice.candidates = ranked.slice(
    0,
    Math.min(maxCandidates, ranked.indexOf(choice.machine)),
  );
  for (const machine of choice.suspicions.keys()) {
    if (!ranked.includes(machine)) choice.suspicions.delete(machine);
  }
}

/** The nodes of the own data centre, this one included, first reader first. */
function rankLocalNodes(choice: ReaderChoice): MachineName[] {
  const { machine, dataCentre, nodes } = choice;
  const names = new Set([machine]);
  for (const node of nodes) {
    if (node.dataCentre === dataCentre) names.add(node.machine);
  }
  return rankByRendezvous(`reader/${dataCentre}`, names);
}

/**
 * All other nodes, in the order in which this one asks them without any reader:
 * one of another data centre and one of the own in turn, since a data centre
 * may be turned away, or cut off from the others, as a whole.
 */
export function rankOtherNodes(choice: ReaderChoice): MachineName[] {
  const { machine, dataCentre, nodes } = choice;
  const remote = new Set<MachineName>();
  for (const node of nodes) {
    if (node.dataCentre !== dataCentre) remote.add(node.machine);
  }
  const remoteNodes = rankByRendezvous(`fallback/${machine}`, remote);
  const localNodes = rankLocalNodes(choice).filter(
    (local) => local !== machine,
  );
  const ranked: MachineName[] = [];
  for (let at = 0; at < Math.max(remoteNodes.length, localNodes.length); at++) {
    for (const nodes of [remoteNodes, localNodes]) {
      const node = nodes[at];
      if (node !== undefined) ranked.push(node);
    }
  }
  return ranked;
}

/** The node to read from; undefined if this node reads the table service itself. */
export function chooseReader(
  choice: ReaderChoice,
  now: Millis,
): MachineName | undefined {
  return choice.candidates.find((machine) => {
    const suspicion = choice.suspicions.get(machine);
    return suspicion === undefined || now >= suspicion.until;
  });
}

/** Whether this node reads the table service because it comes first, not because others failed. */
export function isFirstReader(choice: ReaderChoice): boolean {
  return choice.candidates.length === 0;
}

/** Records that a node did not answer, or had no recent rows; `spread` in [0, 1) varies the pause. */
export function recordReaderFault(
  choice: ReaderChoice,
  fault: { readonly machine: MachineName; readonly kind: ReaderFault },
  { now, spread }: { readonly now: Millis; readonly spread: number },
): void {
  const { machine, kind } = fault;
  const failures = (choice.suspicions.get(machine)?.failures ?? 0) + 1;
  const pause =
    kind === "stale"
      ? staleTime
      : Math.min(maxUnreachableTime, minUnreachableTime * 2 ** (failures - 1));
  const until = millis(now + pause * (1 + spread / 2));
  choice.suspicions.set(machine, { until, failures });
}

/** Records that a node delivered recent rows. */
export function recordReaderSuccess(
  choice: ReaderChoice,
  machine: MachineName,
): void {
  choice.suspicions.delete(machine);
}
