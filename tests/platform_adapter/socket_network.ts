import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { brandNumber, type StoreEpoch } from "../../src/core/ids.ts";
import type { Gateway } from "../../src/node/gateway/gateway.ts";
import type { LeaseRead } from "../../src/node/gateway/rows/lease_rows.ts";
import { MemoryTable } from "../../src/standins/memory_table.ts";

/** Above the version of any single row of the memory table. */
const minReadVersion = 1_000_000;

/** The table that several nodes of one process share, and their calls to one another. */
export class SocketNetwork {
  readonly table: MemoryTable;
  /** Nodes by peer address. */
  readonly gateways = new Map<string, Gateway>();
  readonly #clock = RealClock.create();
  #leaseReads = 0;

  private constructor() {
    this.table = MemoryTable.create(this.#clock);
  }

  static create(): SocketNetwork {
    return new SocketNetwork();
  }

  /** Reads the table at each call; its newest version counts the reads. */
  async readLeaseRows(): Promise<LeaseRead | undefined> {
    const confirmedAt = this.#clock.now();
    const epoch = brandNumber<StoreEpoch>(0);
    const result = await this.table.scan("");
    this.#leaseReads++;
    const newest = minReadVersion + this.#leaseReads;
    return result
      .map((rows) => ({ rows, epoch, newest, confirmedAt }))
      .toMaybe()
      .extract();
  }
}
