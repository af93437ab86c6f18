import type { Either } from "purify-ts";
import type { DataCentre, NodeId, Region } from "../core/ids.ts";
import type { Refusal } from "../core/results/refusal.ts";
import type { ClusterPort } from "../ports/cluster.ts";
import type { Journal } from "../ports/journal.ts";
import type {
  AppliedSheet,
  NodeStatus,
  OperatorPort,
  RevisionRecord,
  TimelineEntry,
  TimelineFilter,
} from "../ports/operators.ts";
import type { Node } from "./node.ts";

/** Operations on the configuration that operators may request. */
export type SheetAdministration = {
  revision(): number | undefined;
  certainty(): string;
  apply(
    request: Parameters<OperatorPort["applySheet"]>[0],
  ): Promise<Either<Refusal, AppliedSheet>>;
  history(limit: number): Promise<Either<Refusal, readonly RevisionRecord[]>>;
  exportAfter(after: number): readonly Uint8Array[];
  show(): Either<Refusal, { revision: number; sheet: unknown }>;
};

/** Options of the operator handler. */
export type OperatorHandlerOptions = {
  readonly nodeId: NodeId;
  readonly region: Region;
  readonly dataCentre: DataCentre;
  readonly node: Node;
  readonly cluster: ClusterPort;
  readonly sheets: SheetAdministration;
  readonly journal: Journal;
  readonly readTimeline: () => readonly TimelineEntry[];
  readonly wallNow: () => number;
  readonly isTableDown: () => boolean;
};

/** Handles the requests of operators; actions that change something are recorded in the timeline. */
export class OperatorHandler implements OperatorPort {
  readonly #options: OperatorHandlerOptions;

  static create(options: OperatorHandlerOptions): OperatorHandler {
    return new OperatorHandler(options);
  }

  private constructor(options: OperatorHandlerOptions) {
    this.#options = options;
  }

  status(): NodeStatus {
    const { nodeId, region, dataCentre, node, cluster, sheets } = this.#options;
    return {
      node: nodeId,
      region,
      dataCentre,
      phase: node.phase,
      revision: sheets.revision(),
      certainty: sheets.certainty(),
      tableOutage: this.#options.isTableDown(),
      inFlight: node.inFlight,
      members: cluster.members().map((member) => ({
        node: member.node,
        state: member.state,
        address: member.peers,
        region: member.region,
      })),
      engines: node.directory.views().map((view) => ({
        engine: view.engine,
        region: view.region,
        owner: view.owner,
        state: view.state,
        queued: view.queued,
        running: view.running,
        held: [...view.held],
      })),
    };
  }

  timeline(filter: TimelineFilter): readonly TimelineEntry[] {
    const since =
      filter.withinMs === undefined
        ? 0
        : this.#options.wallNow() - filter.withinMs;
    return this.#options
      .readTimeline()
      .filter((entry) => entry.time.wall >= since && matches(entry, filter))
      .slice(-filter.limit);
  }

  drain(operator: string): void {
    this.#options.journal.record("operatorAction", {
      action: "drain",
      operator,
    });
    this.#options.node.drain();
  }

  async applySheet(
    request: Parameters<OperatorPort["applySheet"]>[0],
  ): Promise<Either<Refusal, AppliedSheet>> {
    const { journal, sheets } = this.#options;
    const { operator, base, attempt } = request;
    const result = await sheets.apply(request);
    journal.record("operatorAction", {
      action: "applySheet",
      operator,
      base,
      attempt,
      result: result.caseOf({
        Left: (refusal) => refusal.code,
        Right: ({ revision }) => `revision ${revision}`,
      }),
    });
    return result;
  }

  history(limit: number): Promise<Either<Refusal, readonly RevisionRecord[]>> {
    return this.#options.sheets.history(limit);
  }

  exportConfiguration(after: number): readonly Uint8Array[] {
    return this.#options.sheets.exportAfter(after);
  }

  showSheet(): Either<Refusal, { revision: number; sheet: unknown }> {
    return this.#options.sheets.show();
  }
}

function matches(entry: TimelineEntry, filter: TimelineFilter): boolean {
  const { fields } = entry;
  return (
    (filter.requestId === undefined || fields.requestId === filter.requestId) &&
    (filter.adapter === undefined || fields.adapter === filter.adapter) &&
    (filter.engine === undefined || fields.engine === filter.engine)
  );
}
