import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import {
  applyLeaseRead,
  createLeaseState,
  defaultLeaseSettings,
  findOrderFence,
  type KnownNode,
  type LeaseRow,
  type LeaseState,
} from "../../src/core/gateway/engine_lease.ts";
import {
  type LeaseClaim,
  planLeaseClaims,
  recordClaim,
} from "../../src/core/gateway/lease_claims.ts";
import {
  comparePositions,
  type RowPosition,
} from "../../src/core/gateway/row_replica.ts";
import {
  brandNumber,
  brandString,
  type DataCentre,
  type MachineName,
  type ServerId,
} from "../../src/core/ids.ts";

const firstEpoch = brandNumber<RowPosition["epoch"]>(1);
const dataCentre: DataCentre = brandString("tatry-a");
/** Interval of the reads and claims of a node, and of the orders of a holder, in ms. */
const cycleInterval = 250;
const orderInterval = 50;
/** Maximum delay of a call, and of one whose answer is lost, in ms. */
const maxDelay = 700;
const maxLostDelay = 6_000;

type StoredRow = LeaseRow & { readonly rowVersion: number };
type Copy = RowPosition & { readonly rows: ReadonlyMap<ServerId, StoredRow> };

/** An order that an engine received. */
export type SentOrder = {
  readonly engine: ServerId;
  readonly machine: MachineName;
  readonly fence: number;
  readonly at: number;
};

type LeaseNode = {
  state: LeaseState;
  position: RowPosition;
  /** The table service answers this node. */
  isConnected: boolean;
  /** The other nodes hear from this node. */
  isHeard: boolean;
  starts: number;
};

/** Nodes that claim engines on a table which loses answers and is restored from copies. */
export class LeaseFleet {
  readonly clock = VirtualClock.create();
  readonly orders: SentOrder[] = [];
  readonly nodes: LeaseNode[] = [];
  readonly #random: () => number;
  readonly #engines: ServerId[];
  readonly #copies: Copy[] = [];
  #table: Copy;

  constructor(options: { nodes: number; engines: number; seed: number }) {
    this.#random = createSeededRandom(options.seed);
    this.#engines = Array.from({ length: options.engines }, (_, i) =>
      brandString(`i-${i}`),
    );
    const start = { epoch: firstEpoch, newest: 100 };
    this.#table = { ...start, rows: new Map() };
    for (let i = 0; i < options.nodes; i++) {
      this.nodes.push({
        state: this.#createState(`n${i}`, 0),
        position: { ...start, newest: 0 },
        isConnected: true,
        isHeard: true,
        starts: 0,
      });
    }
  }

  /** Ends the process of a node and starts another. */
  restart(node: LeaseNode): void {
    node.starts++;
    node.state = this.#createState(node.state.machine, node.starts);
    node.position = { ...node.position, newest: 0 };
  }

  /** Replaces the table by a copy of its state before the newest writes. */
  restore(lostWrites: number): void {
    const epoch = brandNumber<RowPosition["epoch"]>(this.#table.epoch + 1);
    for (let i = 0; i < lostWrites; i++)
      this.#table = this.#copies.pop() ?? this.#table;
    this.#table = { ...this.#table, epoch };
  }

  async run(duration: number, disturb: () => void): Promise<void> {
    const end = this.clock.now() + duration;
    while (this.clock.now() < end) {
      disturb();
      for (const node of this.nodes) this.#runCycle(node);
      for (let i = 0; i < cycleInterval / orderInterval; i++) {
        await this.clock.advance(millis(orderInterval));
        for (const node of this.nodes) this.#sendOrders(node.state);
      }
    }
  }

  #createState(machine: string, start: number): LeaseState {
    return createLeaseState({
      machine: brandString(machine),
      process: `${machine}/${start}`,
      dataCentre,
      settings: defaultLeaseSettings,
    });
  }

  #runCycle(node: LeaseNode): void {
    const now = this.clock.now();
    for (const other of this.nodes) {
      if (other.isHeard && node.isHeard)
        node.state.lastContactAt.set(other.state.machine, now);
    }
    if (!node.isConnected) return;
    if (this.#random() < 0.3) this.#read(node);
    if (!node.state.hasRead) return;
    const engines = this.#engines.map((engine) => ({ engine, dataCentre }));
    for (const claim of planLeaseClaims(node.state, engines, now))
      this.#claim(node, claim);
  }

  #read(node: LeaseNode): void {
    const { state } = node;
    const sentAt = this.clock.now();
    const toTable = this.#random() * maxDelay;
    this.clock.schedule(millis(toTable), () => {
      const read = this.#table;
      this.clock.schedule(millis(this.#random() * maxDelay), () => {
        if (node.state !== state) return;
        if (comparePositions(read, node.position) < 0) return;
        node.position = read;
        applyLeaseRead(state, {
          leases: read.rows,
          nodes: this.#listNodes(),
          epoch: read.epoch,
          // Each copy has the address row of some node from the first epoch.
          hasEarlierRows: read.epoch > firstEpoch,
          sentAt,
          now: this.clock.now(),
        });
      });
    });
  }

  /** Commits a claim if its condition holds when it arrives, be it in another epoch. */
  #claim(node: LeaseNode, claim: LeaseClaim): void {
    const { state } = node;
    const { engine, epoch, basis, fence, wait } = claim;
    const { machine, process } = state;
    const isLost = this.#random() < 0.3;
    const delay = this.#random() * (isLost ? maxLostDelay : maxDelay);
    this.clock.schedule(millis(delay), () => {
      const current = this.#table.rows.get(engine)?.rowVersion ?? "absent";
      if (current !== basis) return;
      const newest = this.#table.newest + 1;
      const row = { machine, process, fence, released: false, epoch, wait };
      this.#write(engine, { ...row, rowVersion: newest });
      const position = { epoch: this.#table.epoch, newest };
      if (isLost || node.state !== state || position.epoch !== epoch) return;
      if (comparePositions(position, node.position) > 0)
        node.position = position;
      recordClaim(state, claim, { rowVersion: newest, now: this.clock.now() });
    });
  }

  #write(engine: ServerId, row: StoredRow): void {
    this.#copies.push(this.#table);
    const rows = new Map(this.#table.rows).set(engine, row);
    this.#table = { ...this.#table, newest: row.rowVersion, rows };
  }

  #sendOrders(state: LeaseState): void {
    const at = this.clock.now();
    for (const engine of this.#engines) {
      const fence = findOrderFence(state, engine, at);
      if (fence !== undefined)
        this.orders.push({ engine, machine: state.machine, fence, at });
    }
  }

  #listNodes(): KnownNode[] {
    return this.nodes.map(({ state: { machine } }) => ({
      machine,
      dataCentre,
      address: machine,
    }));
  }
}
