import { type Cancel, type Millis, millis } from "../../core/clock.ts";
import {
  absorbLeases,
  createLeaseState,
  defaultLeaseSettings,
  doubtLeases,
  findOrderRight,
  type KnownNode,
  type LeaseClaim,
  type LeaseRow,
  type LeaseState,
  noteClaimed,
  planLeaseClaims,
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

/** Time between two reads of the lease rows, and between two looks at what may be claimed, in ms. */
const readPeriod = millis(1_500);
const lookPeriod = millis(250);
/** Time between two claims of the same engine that failed, in ms. */
const claimPause = millis(600);

/** Silence after which a machine is not asked for adapters, in ms; it answers a report at least each second. */
const silenceLimit = 1_700;

const leasePrefix = "engine/";
const nodePrefix = "node/";

/** What the lease desk needs from its node. */
export type LeaseManagerOptions = {
  readonly context: GatewayContext;
  readonly table: TableService;
  /** Called when the node gets or loses the right to order an engine. */
  readonly onChange: () => void;
};

/** Task that owns the engine leases of this node and knows those of the others. */
export class LeaseManager {
  readonly #options: LeaseManagerOptions;
  readonly #state: LeaseState;
  readonly #claimedAt = new Map<ServerId, Millis>();
  #cancel: Cancel = () => {};
  #readAt = millis(Number.NEGATIVE_INFINITY);
  #busy = false;
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

  /** Starts to read the rows and to claim engines. */
  static create(options: LeaseManagerOptions): LeaseManager {
    const desk = new LeaseManager(options);
    desk.#look();
    return desk;
  }

  /** Fencing number for an order written in this turn; undefined if none may be. */
  findOrderFence(engine: ServerId): FencingNumber | undefined {
    if (this.#stopped) return undefined;
    return findOrderRight(this.#state, engine, this.#options.context.now());
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

  /** Notes that a machine was heard from. */
  recordContact(machine: MachineName): void {
    this.#state.heardAt.set(machine, this.#options.context.now());
  }

  /** Whether a machine has not answered for so long that asking it is in vain. */
  isUnresponsive(machine: MachineName): boolean {
    const heard = this.#state.heardAt.get(machine);
    return (
      heard !== undefined && this.#options.context.now() > heard + silenceLimit
    );
  }

  /** The process stood still: rows are read before the next order. */
  invalidate(): void {
    doubtLeases(this.#state);
    this.#readAt = millis(Number.NEGATIVE_INFINITY);
  }

  /** Stops ordering and says so in the rows, for a planned stop. */
  async release(): Promise<void> {
    this.#stopped = true;
    this.#cancel();
    const writes = [...this.#state.held].map(([engine, lease]) => ({
      key: toKey(leasePrefix, engine),
      value: formatLease({
        machine: this.#state.machine,
        process: this.#state.process,
        fence: lease.fence,
        released: true,
      }),
    }));
    const conditions = [...this.#state.held].map(([engine, lease]) => ({
      key: toKey(leasePrefix, engine),
      version: lease.rowVersion,
    }));
    if (writes.length === 0) return;
    const attempt = this.#nextAttempt();
    await this.#options.table.transact({ attempt, conditions, writes });
  }

  #look(): void {
    if (this.#stopped) return;
    const { context } = this.#options;
    const { clock } = context.dependencies;
    if (!this.#busy) void this.#work();
    this.#cancel = clock.schedule(lookPeriod, () => this.#look());
  }

  async #work(): Promise<void> {
    this.#busy = true;
    const { context } = this.#options;
    if (context.now() >= this.#readAt + readPeriod) await this.#read();
    if (!this.#isRegistered) await this.#register();
    if (Number.isFinite(this.#state.readAt)) await this.#claim();
    this.#busy = false;
  }

  async #read(): Promise<void> {
    const { context, table, onChange } = this.#options;
    const sentAt = context.now();
    this.#readAt = sentAt;
    const answer = await table.scan("");
    const held = this.held();
    answer.ifRight((rows) => {
      absorbLeases(this.#state, {
        ...readRows(rows),
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

  /** Writes this node's address for the others. */
  async #register(): Promise<void> {
    const { context, table } = this.#options;
    const { machine, dataCentre, peerAddress } = context.dependencies.identity;
    const answer = await table.transact({
      attempt: this.#nextAttempt(),
      conditions: [],
      writes: [
        {
          key: toKey(nodePrefix, machine),
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
        (this.#claimedAt.get(engine) ?? Number.NEGATIVE_INFINITY) + claimPause,
    );
    for (const claim of claims) await this.#commitClaim(claim);
  }

  async #commitClaim(claim: LeaseClaim): Promise<void> {
    const { context, table, onChange } = this.#options;
    const { engine, fence, basis } = claim;
    this.#claimedAt.set(engine, context.now());
    const key = toKey(leasePrefix, engine);
    const { machine, process } = this.#state;
    const row = { machine, process, fence, released: false };
    const answer = await table.transact({
      attempt: this.#nextAttempt(),
      conditions: [{ key, version: basis }],
      writes: [{ key, value: formatLease(row) }],
    });
    answer.ifRight((result) => {
      if (result.kind !== "committed" || result.version === undefined) {
        this.#readAt = millis(Number.NEGATIVE_INFINITY);
        return;
      }
      const commit = { rowVersion: result.version, now: context.now() };
      noteClaimed(this.#state, claim, commit);
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

function toKey(prefix: string, name: string): RowKey {
  return brandString(`${prefix}${name}`);
}

function formatLease(row: LeaseRow): Json {
  return { ...row };
}

type Fields = { readonly [key: string]: Json };

/** Leases and nodes among the rows; rows of another form are left out. */
function readRows(rows: readonly Row[]): {
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
