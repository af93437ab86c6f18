import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { ServerId } from "../../../core/ids.ts";
import type { EngineOrders } from "../../../ports/gateway.ts";

/**
 * Tells a crash of an engine from an answer that broke off for another reason:
 * an engine that still reports its status has not crashed. The requests that
 * break at the same time share one check.
 */
export class CrashCheck {
  readonly #orders: EngineOrders;
  readonly #running = new Map<ServerId, Promise<boolean>>();

  private constructor(orders: EngineOrders) {
    this.#orders = orders;
  }

  static create(orders: EngineOrders): CrashCheck {
    return new CrashCheck(orders);
  }

  /** Resolves to whether the engine has gone down. */
  isDown(server: BackendServer): Promise<boolean> {
    const running = this.#running.get(server.id);
    if (running !== undefined) return running;
    const check = this.#orders
      .fetchStatus(server)
      .then((status) => status.isLeft())
      .finally(() => this.#running.delete(server.id));
    this.#running.set(server.id, check);
    return check;
  }
}
