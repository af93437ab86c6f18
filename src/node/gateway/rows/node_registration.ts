import { type Millis, millis } from "../../../core/clock.ts";
import type { StoreEpoch } from "../../../core/ids.ts";
import type {
  Json,
  Row,
  TableService,
  TransactionResult,
} from "../../../ports/table.ts";
import type { GatewayContext } from "../context.ts";
import { createNodeKey, encodeNode } from "./lease_rows.ts";

/** Time over which the nodes spread the writes of their addresses after a restore of the table service, in ms. */
const rewriteSpread = 2_000;

/** Row with the peer address of a node, which has to be written again in each epoch. */
export class NodeRegistration {
  readonly #context: GatewayContext;
  readonly #table: TableService;
  #isListed = false;
  #dueAt: Millis;

  private constructor(context: GatewayContext, table: TableService) {
    this.#context = context;
    this.#table = table;
    this.#dueAt = context.now();
  }

  static create(
    context: GatewayContext,
    table: TableService,
  ): NodeRegistration {
    return new NodeRegistration(context, table);
  }

  /** Whether the table lists the node as it must. */
  get isListed(): boolean {
    return this.#isListed;
  }

  /** Whether the row has to be written now. */
  get isDue(): boolean {
    return !this.#isListed && this.#context.now() >= this.#dueAt;
  }

  /** Checks whether the rows that were read list the node as it must be in their epoch. */
  applyRead(rows: readonly Row[], epoch: StoreEpoch): void {
    const key = createNodeKey(this.#context.dependencies.identity.machine);
    const expected = JSON.stringify(this.#encode(epoch));
    const isListed = rows.some(
      (row) => row.key === key && JSON.stringify(row.value) === expected,
    );
    if (this.#isListed && !isListed) {
      const { random } = this.#context.dependencies;
      this.#dueAt = millis(this.#context.now() + random() * rewriteSpread);
    }
    this.#isListed = isListed;
  }

  /** Writes the row; undefined without an answer. */
  async write(epoch: StoreEpoch): Promise<TransactionResult | undefined> {
    const { machine } = this.#context.dependencies.identity;
    const answer = await this.#table.transact({
      attempt: this.#context.createAttemptToken(),
      conditions: [],
      writes: [{ key: createNodeKey(machine), value: this.#encode(epoch) }],
    });
    return answer.toMaybe().extract();
  }

  /** Records that the write took effect in the epoch of the rows. */
  confirm(): void {
    this.#isListed = true;
  }

  #encode(epoch: StoreEpoch): Json {
    const { machine, dataCentre, peerAddress, capacity } =
      this.#context.dependencies.identity;
    const node = { machine, dataCentre, address: peerAddress, capacity };
    return encodeNode(node, epoch);
  }
}
