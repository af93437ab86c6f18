import { type Clock, millis } from "../core/clock.ts";
import type { TableService, Transaction } from "../ports/table.ts";
import { MemoryTable } from "../standins/memory_table.ts";

/** Writes per second that the table takes from all nodes. */
const writesPerSecond = 400;
/** Time that a call of the table takes, in ms. */
const callTime = millis(8);

/** Table of a simulated fleet that counts its calls. */
export class CountedTable implements TableService {
  reads = 0;
  writes = 0;
  writtenBytes = 0;
  readonly #table: MemoryTable;

  private constructor(table: MemoryTable) {
    this.#table = table;
    table.delay = callTime;
    table.limits.writes = writesPerSecond;
  }

  static create(clock: Clock): CountedTable {
    return new CountedTable(MemoryTable.create(clock));
  }

  read(key: Parameters<TableService["read"]>[0]) {
    return this.#table.read(key);
  }

  scan(prefix: string) {
    this.reads++;
    return this.#table.scan(prefix);
  }

  transact(transaction: Transaction) {
    this.writes++;
    this.writtenBytes += JSON.stringify(transaction.writes).length;
    return this.#table.transact(transaction);
  }
}
