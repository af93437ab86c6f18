import { type Cancel, millis } from "../../core/clock.ts";
import type { MachineName, PlaceKey, ServerId } from "../../core/ids.ts";
import type { EngineUse, NodeLinks } from "../../ports/gateway.ts";
import type { GatewayContext } from "./context.ts";
import type { Keepers } from "./keepers.ts";
import type { LeaseDesk } from "./lease_desk.ts";

/** Time between two reports to the owners of engines, in ms. */
const reportPeriod = millis(1_000);

/** Tells the owners of engines which adapters are in use; also shows that they live. */
export class UseReport {
  readonly #options: {
    readonly context: GatewayContext;
    readonly leases: LeaseDesk;
    readonly keepers: Keepers;
    readonly links: NodeLinks;
  };
  /** Requests that run now, by engine and adapter. */
  readonly #running = new Map<ServerId, Map<PlaceKey, number>>();
  /** Adapters used since the last report. */
  readonly #used = new Map<ServerId, Set<PlaceKey>>();
  #cancel: Cancel = () => {};

  private constructor(options: {
    readonly context: GatewayContext;
    readonly leases: LeaseDesk;
    readonly keepers: Keepers;
    readonly links: NodeLinks;
  }) {
    this.#options = options;
  }

  static create(options: {
    readonly context: GatewayContext;
    readonly leases: LeaseDesk;
    readonly keepers: Keepers;
    readonly links: NodeLinks;
  }): UseReport {
    const report = new UseReport(options);
    report.#tick();
    return report;
  }

  /** Counts a request that starts on an adapter; the result counts its end. */
  noteStart(engine: ServerId, place: PlaceKey): () => void {
    const running = this.#running.get(engine) ?? new Map<PlaceKey, number>();
    this.#running.set(engine, running);
    running.set(place, (running.get(place) ?? 0) + 1);
    const used = this.#used.get(engine) ?? new Set<PlaceKey>();
    this.#used.set(engine, used.add(place));
    let hasEnded = false;
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      const left = (running.get(place) ?? 1) - 1;
      if (left > 0) running.set(place, left);
      else running.delete(place);
    };
  }

  stop(): void {
    this.#cancel();
  }

  #tick(): void {
    const { context } = this.#options;
    this.#cancel = context.setup.clock.schedule(reportPeriod, () =>
      this.#tick(),
    );
    this.#reportAll();
  }

  #reportAll(): void {
    const { context, leases, keepers, links } = this.#options;
    const { machine: self } = context.setup.identity;
    const byHolder = new Map<MachineName, EngineUse[]>();
    for (const engine of context.directory.servers.keys()) {
      const holder = leases.findHolder(engine);
      if (holder === undefined) continue;
      const uses = byHolder.get(holder) ?? [];
      byHolder.set(holder, uses);
      const running = this.#running.get(engine)?.keys() ?? [];
      const used = this.#used.get(engine) ?? [];
      uses.push({ engine, places: [...new Set([...running, ...used])] });
    }
    this.#used.clear();
    for (const [holder, engines] of byHolder) {
      if (holder === self) {
        keepers.noteUse(engines);
        continue;
      }
      const address = leases.findAddress(holder);
      if (address === undefined) continue;
      void links.reportUse(address, { from: self, engines }).then((heard) => {
        if (heard) leases.noteHeard(holder);
      });
    }
  }
}
