import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { ServerId } from "../../../core/ids.ts";
import type { EngineOrders } from "../../../ports/gateway.ts";

/**
 * Tells a crash of a server from an answer that broke off for another reason: a
 * server that still answers a status request, with whatever status, has not
 * crashed. The requests that break at the same time share one check.
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

  /** Resolves to whether the server has gone down, or another one has its address. */
  isDown(server: BackendServer): Promise<boolean> {
    const running = this.#running.get(server.id);
    if (running !== undefined) return running;
    const check = this.#orders
      .fetchStatus(server)
      .then((status) =>
        status.caseOf({
          Left: ({ hasAnswered = false }) => !hasAnswered,
          Right: () => false,
        }),
      )
      .finally(() => this.#running.delete(server.id));
    this.#running.set(server.id, check);
    return check;
  }
}
