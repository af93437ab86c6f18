import { type Cancel, type Millis, millis } from "../../core/clock.ts";
import {
  applyLeaseRead,
  createLeaseState,
  defaultLeaseSettings,
  findOrderFence,
  invalidateLeases,
  type KnownNode,
  type LeaseClaim,
  type LeaseRow,
  type LeaseState,
  planLeaseClaims,
  recordClaim,
} from "../../core/gateway/engine_lease.ts";
import {
  type AttemptToken,
  brandNumber,
  brandString,
  type FencingNumber,
  type MachineName,
  type RowKey,
  type ServerId,
} from "../../core/ids.ts";
import type { Json, Row, TableService } from "../../ports/table.ts";
import type { GatewayContext } from "./context.ts";

/** Interval of reads of the lease rows, in ms. */
const readInterval = millis(1_500);
/** Interval of checks for engines that may be claimed, in ms. */
const tickInterval = millis(250);
/** Delay before the same engine is claimed again, in ms. */
const claimRetryDelay = millis(600);

/**
 * Time without a message after which a machine is not sent adapter requests,
 * in ms. A live machine answers a report at least every second.
 */
const contactTimeout = 1_700;

const leasePrefix = "engine/";
const nodePrefix = "node/";

/** Dependencies of a lease manager. */
export type LeaseManagerOptions = {
  readonly context: GatewayContext;
  readonly table: TableService;
  /** Called when the node gains or loses the lease of an engine. */
  readonly onChange: () => void;
};

/** Task that claims and releases the engine leases of this node and tracks those of the others. */
export class LeaseManager {
  readonly #options: LeaseManagerOptions;
  readonly #state: LeaseState;
  readonly #claimedAt = new Map<ServerId, Millis>();
  #cancel: Cancel = () => {};
  #readAt = millis(Number.NEGATIVE_INFINITY);
  #isCycleRunning = false;
  #attempts = 0;
  #isRegistered = false;
  #stopped = false;

  private constructor(options: LeaseManagerOptions) {
    this.#options = options;
    const { machine, process, dataCentre } =
      options.context.dependencies.identity;
    const settings = defaultLeaseSettings;
    this.#state = createLeaseState({ machine, process, dataCentre, settings });
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
    const row = this.#state.rows.get(engine);
    return row === undefined || row.released ? undefined : row.machine;
  }

  /** Peer address of a machine. */
  findAddress(machine: MachineName): string | undefined {
    return this.#state.nodes.get(machine)?.address;
  }

  /** Records that a message from a machine has arrived. */
  recordContact(machine: MachineName): void {
    this.#state.lastContactAt.set(machine, this.#options.context.now());
  }

  /** Whether a machine has sent nothing for so long that it is not expected to answer. */
  isUnresponsive(machine: MachineName): boolean {
    const lastContact = this.#state.lastContactAt.get(machine);
    return (
      lastContact !== undefined &&
      this.#options.context.now() > lastContact + contactTimeout
    );
  }

  /** Stops all orders until the rows are read again; called after a pause of the process. */
  invalidate(): void {
    invalidateLeases(this.#state);
    this.#readAt = millis(Number.NEGATIVE_INFINITY);
  }

  /** Stops all orders and marks the held leases as released, for a planned stop. */
  async release(): Promise<void> {
    this.#stopped = true;
    this.#cancel();
    const writes = [...this.#state.held].map(([engine, lease]) => ({
      key: createRowKey(leasePrefix, engine),
      value: encodeLease({
        machine: this.#state.machine,
        process: this.#state.process,
        fence: lease.fence,
        released: true,
      }),
    }));
    const conditions = [...this.#state.held].map(([engine, lease]) => ({
      key: createRowKey(leasePrefix, engine),
      version: lease.rowVersion,
    }));
    if (writes.length === 0) return;
    const attempt = this.#nextAttempt();
    await this.#options.table.transact({ attempt, conditions, writes });
  }

  #tick(): void {
    if (this.#stopped) return;
    const { context } = this.#options;
    const { clock } = context.dependencies;
    if (!this.#isCycleRunning) void this.#runCycle();
    this.#cancel = clock.schedule(tickInterval, () => this.#tick());
  }

  async #runCycle(): Promise<void> {
    this.#isCycleRunning = true;
    const { context } = this.#options;
    if (context.now() >= this.#readAt + readInterval) await this.#read();
    if (!this.#isRegistered) await this.#register();
    if (Number.isFinite(this.#state.readAt)) await this.#claim();
    this.#isCycleRunning = false;
  }

  async #read(): Promise<void> {
    const { context, table, onChange } = this.#options;
    const sentAt = context.now();
    this.#readAt = sentAt;
    const answer = await table.scan("");
    const held = this.held();
    answer.ifRight((rows) => {
      applyLeaseRead(this.#state, {
        ...decodeRows(rows),
        sentAt,
        now: context.now(),
      });
      context.nodeCount = Math.max(1, this.#state.nodes.size);
    });
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
    const { context, table } = this.#options;
    const { machine, dataCentre, peerAddress } = context.dependencies.identity;
    const answer = await table.transact({
      attempt: this.#nextAttempt(),
      conditions: [],
      writes: [
        {
          key: createRowKey(nodePrefix, machine),
          value: { dataCentre, address: peerAddress },
        },
      ],
    });
    answer.ifRight(() => {
      this.#isRegistered = true;
    });
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
    const now = context.now();
    const claims = planLeaseClaims(this.#state, engines, now).filter(
      ({ engine }) =>
        now >=
        (this.#claimedAt.get(engine) ?? Number.NEGATIVE_INFINITY) +
          claimRetryDelay,
    );
    for (const claim of claims) await this.#commitClaim(claim);
  }

  async #commitClaim(claim: LeaseClaim): Promise<void> {
    const { context, table, onChange } = this.#options;
    const { engine, fence, basis } = claim;
    this.#claimedAt.set(engine, context.now());
    const key = createRowKey(leasePrefix, engine);
    const { machine, process } = this.#state;
    const row = { machine, process, fence, released: false };
    const answer = await table.transact({
      attempt: this.#nextAttempt(),
      conditions: [{ key, version: basis }],
      writes: [{ key, value: encodeLease(row) }],
    });
    answer.ifRight((result) => {
      if (result.kind !== "committed" || result.version === undefined) {
        this.#readAt = millis(Number.NEGATIVE_INFINITY);
        return;
      }
      const commit = { rowVersion: result.version, now: context.now() };
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

  #nextAttempt(): AttemptToken {
    this.#attempts++;
    return brandString(`${this.#state.process}/${this.#attempts}`);
  }
}

function createRowKey(prefix: string, name: string): RowKey {
  return brandString(`${prefix}${name}`);
}

function encodeLease(row: LeaseRow): Json {
  return { ...row };
}

type Fields = { readonly [key: string]: Json };

/** Decodes the lease and node rows; skips rows of another form. */
function decodeRows(rows: readonly Row[]): {
  leases: Map<ServerId, LeaseRow & { rowVersion: number }>;
  nodes: KnownNode[];
} {
  const leases = new Map<ServerId, LeaseRow & { rowVersion: number }>();
  const nodes: KnownNode[] = [];
  for (const { key, version, value } of rows) {
    const fields = (value ?? {}) as Fields;
    if (key.startsWith(leasePrefix)) {
      const { machine, process, fence, released } = fields;
      if (typeof machine !== "string" || typeof fence !== "number") continue;
      leases.set(brandString(key.slice(leasePrefix.length)), {
        machine: brandString(machine),
        process: String(process),
        fence: brandNumber(fence),
        released: released === true,
        rowVersion: version,
      });
    } else if (key.startsWith(nodePrefix)) {
      const { dataCentre, address } = fields;
      if (typeof dataCentre !== "string" || typeof address !== "string")
        continue;
      const machine = brandString<MachineName>(key.slice(nodePrefix.length));
      nodes.push({ machine, dataCentre: brandString(dataCentre), address });
    }
  }
  return { leases, nodes };
}
