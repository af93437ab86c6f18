import { type Cancel, type Millis, millis } from "../../../core/clock.ts";
import {
  applyLeaseRead,
  confirmLeaseRead,
  createLeaseState,
  defaultLeaseSettings,
  findLeaseHolder,
  findOrderFence,
  invalidateLeases,
  type LeaseState,
} from "../../../core/gateway/engine_lease.ts";
import {
  getOwnRank,
  type LeaseClaim,
  planLeaseClaims,
  recordClaim,
} from "../../../core/gateway/lease_claims.ts";
import {
  comparePositions,
  type RowPosition,
} from "../../../core/gateway/row_replica.ts";
import type { NodeListRead } from "../../../core/gateway/slack_share.ts";
import {
  brandNumber,
  type DataCentre,
  type FencingNumber,
  type MachineName,
  type ServerId,
  type StoreEpoch,
} from "../../../core/ids.ts";
import type { TableService, TransactionResult } from "../../../ports/table.ts";
import type { GatewayContext } from "../context.ts";
import type { PeerContacts } from "../peers/peer_contacts.ts";
import {
  createLeaseKey,
  decodeLeases,
  decodeNodes,
  encodeLease,
  hasEarlierRows,
  type LeaseRead,
  type ReadLeaseRows,
} from "./lease_rows.ts";
import { NodeRegistration } from "./node_registration.ts";
import { SlackShareWatch } from "./slack_share_watch.ts";

/** Interval of checks for engines that may be claimed, in ms. */
const tickInterval = millis(250);
/** Delay before the same engine is claimed again, in ms. */
const claimRetryDelay = millis(600);

/** Number of nodes that check regularly whether the holder of an engine is alive. */
const watcherCount = 3;

/** Dependencies of a lease manager. */
export type LeaseManagerOptions = {
  readonly context: GatewayContext;
  readonly table: TableService;
  readonly readRows: ReadLeaseRows;
  readonly contacts: PeerContacts;
  /** Called when the node gains or loses the lease of an engine. */
  readonly onChange: () => void;
  /** Called when the list of nodes was read or confirmed. */
  readonly onNodeList?: (read: NodeListRead) => void;
};

/** Task that claims and releases the engine leases of this node and tracks those of the others. */
export class LeaseManager {
  readonly #options: LeaseManagerOptions;
  readonly #state: LeaseState;
  readonly #registration: NodeRegistration;
  readonly #shareWatch: SlackShareWatch;
  readonly #claimedAt = new Map<ServerId, Millis>();
  #cancel: Cancel = () => {};
  /** Number of nodes that the rows list. */
  #listedNodes = 0;
  /** The rows that were applied last. */
  #applied: LeaseRead | undefined;
  /** Rows of an earlier point in the history, or confirmed earlier, are ignored. */
  #minPosition: RowPosition = { epoch: brandNumber(0), newest: 0 };
  #minConfirmedAt = millis(Number.NEGATIVE_INFINITY);
  #needsFreshRead = false;
  #isCycleRunning = false;
  #stopped = false;

  private constructor(options: LeaseManagerOptions) {
    this.#options = options;
    const { machine, process, dataCentre, capacity } =
      options.context.dependencies.identity;
    const settings = defaultLeaseSettings;
    const { context, table } = options;
    this.#registration = NodeRegistration.create(context, table);
    this.#shareWatch = SlackShareWatch.create(context, options.onNodeList);
    this.#state = createLeaseState({
      machine,
      process,
      dataCentre,
      capacity,
      settings,
    });
  }

  /** Starts to read the lease rows and to claim engines. */
  static create(options: LeaseManagerOptions): LeaseManager {
    const manager = new LeaseManager(options);
    manager.#tick();
    return manager;
  }

  /**
   * Fencing number for an order that is written in the same turn of the event
   * loop; undefined if no order may be written.
   */
  findOrderFence(engine: ServerId): FencingNumber | undefined {
    if (this.#stopped) return undefined;
    return findOrderFence(this.#state, engine, this.#options.context.now());
  }

  /** Engines whose lease this node holds. */
  held(): ServerId[] {
    return [...this.#state.held.keys()];
  }

  /** Machine that holds the lease of an engine. */
  findHolder(engine: ServerId): MachineName | undefined {
    return findLeaseHolder(this.#state, engine);
  }

  /** Peer address of a machine. */
  findAddress(machine: MachineName): string | undefined {
    return this.#state.nodes.get(machine)?.address;
  }

  /** Data centre of a machine. */
  findDataCentre(machine: MachineName): DataCentre | undefined {
    return this.#state.nodes.get(machine)?.dataCentre;
  }

  /** All nodes, this one included; undefined before the first read. */
  listMachines(): MachineName[] | undefined {
    const { hasRead, machine, nodes } = this.#state;
    return hasRead ? [...new Set([machine, ...nodes.keys()])] : undefined;
  }

  /** Peer addresses of all other nodes. */
  listOtherAddresses(): string[] {
    const { nodes, machine } = this.#state;
    const others = [...nodes.values()].filter(
      (node) => node.machine !== machine,
    );
    return others.map(({ address }) => address);
  }

  /** Whether this node is among the first to claim an engine whose holder fails. */
  isWatched(engine: ServerId): boolean {
    const server = this.#options.context.directory.servers.get(engine);
    if (server === undefined) return false;
    const { dataCentre } = server;
    return getOwnRank(this.#state, { engine, dataCentre }) < watcherCount;
  }

  /** Stops all orders until the rows are read again; called after a pause of the process. */
  invalidate(): void {
    invalidateLeases(this.#state);
    this.#minConfirmedAt = this.#options.context.now();
    this.#needsFreshRead = true;
  }

  /** Stops all orders and marks the held leases as released, for a planned stop. */
  async release(): Promise<void> {
    this.#stopped = true;
    this.#cancel();
    const { machine, process, epoch } = this.#state;
    const now = this.#options.context.now();
    const held = [...this.#state.held].filter(
      ([, lease]) => lease.epoch === epoch,
    );
    const writes = held.map(([engine, { fence, ordersFrom }]) => {
      const wait = millis(Math.max(0, ordersFrom - now));
      const lease = { machine, process, fence, released: true, epoch, wait };
      return { key: createLeaseKey(engine), value: encodeLease(lease) };
    });
    const conditions = held.map(([engine, lease]) => ({
      key: createLeaseKey(engine),
      version: lease.rowVersion,
    }));
    if (writes.length === 0) return;
    const attempt = this.#options.context.createAttemptToken();
    await this.#options.table.transact({ attempt, conditions, writes });
  }

  #tick(): void {
    if (this.#stopped) return;
    this.#shareWatch.report();
    const { context } = this.#options;
    const { clock, journal } = context.dependencies;
    if (!this.#isCycleRunning) {
      this.#runCycle().catch((error: Error) =>
        journal.record("leaseCycleFailed", { detail: error.message }),
      );
    }
    this.#cancel = clock.schedule(tickInterval, () => this.#tick());
  }

  async #runCycle(): Promise<void> {
    this.#isCycleRunning = true;
    try {
      await this.#read();
      if (this.#registration.isDue) await this.#register();
      if (Number.isFinite(this.#state.readAt)) await this.#claim();
    } finally {
      this.#isCycleRunning = false;
    }
  }

  async #read(): Promise<void> {
    const isFresh = this.#needsFreshRead;
    this.#needsFreshRead = false;
    const read = await this.#options.readRows({ isFresh });
    if (read === undefined) return;
    const { confirmedAt } = read;
    if (comparePositions(read, this.#minPosition) < 0) return;
    if (confirmedAt < this.#minConfirmedAt) return;
    if (read.rows === this.#applied?.rows) {
      confirmLeaseRead(this.#state, confirmedAt);
    } else {
      this.#applyRead(read);
      this.#applied = read;
    }
    const nodes = this.#listedNodes;
    const { isListed } = this.#registration;
    this.#shareWatch.recordRead({ confirmedAt, nodes, isListed });
  }

  #applyRead({ rows, epoch, confirmedAt }: LeaseRead): void {
    const { context, onChange } = this.#options;
    const held = this.held();
    const nodes = decodeNodes(rows);
    this.#listedNodes = nodes.length;
    this.#registration.applyRead(rows, epoch);
    applyLeaseRead(this.#state, {
      leases: decodeLeases(rows),
      nodes,
      epoch,
      hasEarlierRows: hasEarlierRows(rows, epoch),
      sentAt: confirmedAt,
      now: context.now(),
    });
    context.nodeCount = Math.max(1, this.#state.nodes.size);
    for (const engine of held) {
      if (this.#state.held.has(engine)) continue;
      const holder = this.findHolder(engine);
      context.dependencies.journal.record("engineLeaseLost", {
        server: engine,
        holder,
      });
      onChange();
    }
  }

  /** Publishes the peer address of this node. */
  async #register(): Promise<void> {
    const { epoch } = this.#state;
    const result = await this.#registration.write(epoch);
    if (result === undefined) return;
    if (this.#recordCommit(result, epoch) !== undefined)
      this.#registration.confirm();
  }

  async #claim(): Promise<void> {
    const { context } = this.#options;
    const engines = [...context.directory.servers.values()]
      .filter(
        ({ service, leaving }) =>
          !leaving &&
          context.configuration?.services.get(service)?.engine !== undefined,
      )
      .map(({ id, dataCentre }) => ({ engine: id, dataCentre }));
    this.#confirmContacts();
    const now = context.now();
    const claims = planLeaseClaims(this.#state, engines, now).filter(
      ({ engine }) =>
        now >=
        (this.#claimedAt.get(engine) ?? Number.NEGATIVE_INFINITY) +
          claimRetryDelay,
    );
    for (const claim of claims) await this.#commitClaim(claim);
  }

  /**
   * Version of a committed write. Undefined if it was not committed in the
   * epoch of the rows on which it was based: its conditions may have held for
   * other rows, so that the rows have to be read again.
   */
  #recordCommit(
    result: TransactionResult,
    epoch: StoreEpoch,
  ): number | undefined {
    if (
      result.kind !== "committed" ||
      result.version === undefined ||
      (result.epoch ?? epoch) !== epoch
    ) {
      this.#needsFreshRead = true;
      return undefined;
    }
    const position = { epoch, newest: result.version };
    if (comparePositions(position, this.#minPosition) > 0)
      this.#minPosition = position;
    return result.version;
  }

  /** Counts a holder as alive while it owes no answer, since idle nodes rarely report. */
  #confirmContacts(): void {
    const { rows, lastContactAt } = this.#state;
    const { context, contacts } = this.#options;
    for (const { machine } of rows.values()) {
      const isChecked = this.findAddress(machine) !== undefined;
      if (isChecked && contacts.findUnansweredSince(machine) === undefined)
        lastContactAt.set(machine, context.now());
    }
  }

  async #commitClaim(claim: LeaseClaim): Promise<void> {
    const { context, table, onChange } = this.#options;
    const { engine, fence, basis } = claim;
    this.#claimedAt.set(engine, context.now());
    const key = createLeaseKey(engine);
    const { machine, process } = this.#state;
    const { wait, epoch } = claim;
    const row = { machine, process, fence, released: false, epoch, wait };
    const answer = await table.transact({
      attempt: context.createAttemptToken(),
      conditions: [{ key, version: basis }],
      writes: [{ key, value: encodeLease(row) }],
    });
    answer.ifRight((result) => {
      const rowVersion = this.#recordCommit(result, epoch);
      if (rowVersion === undefined) return;
      const commit = { rowVersion, now: context.now() };
      recordClaim(this.#state, claim, commit);
      context.dependencies.journal.record("engineClaimed", {
        server: engine,
        fence,
        basis,
        wait: claim.wait,
      });
      onChange();
    });
  }
}
