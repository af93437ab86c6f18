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
  /** Requests that run now, and that wait at an engine, by engine and adapter. */
  readonly #running: UseCounts = new Map();
  readonly #awaited: UseCounts = new Map();
  /** Adapters on which requests began since the last report. */
  readonly #began = new Map<ServerId, Set<PlaceKey>>();
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

  /** Counts a request that an engine has got; the result counts its end. */
  noteSent(engine: ServerId, place: PlaceKey): () => void {
    return countUse(this.#awaited, engine, place);
  }

  /** Counts a request that begins to run on an adapter; the result counts its end. */
  noteBegun(engine: ServerId, place: PlaceKey): () => void {
    const began = this.#began.get(engine) ?? new Set<PlaceKey>();
    this.#began.set(engine, began.add(place));
    return countUse(this.#running, engine, place);
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
      const began = this.#began.get(engine) ?? [];
      const awaited = this.#awaited.get(engine)?.keys() ?? [];
      uses.push({
        engine,
        ran: [...new Set([...running, ...began])],
        awaited: [...awaited],
      });
    }
    this.#began.clear();
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

type UseCounts = Map<ServerId, Map<PlaceKey, number>>;

function countUse(
  counts: UseCounts,
  engine: ServerId,
  place: PlaceKey,
): () => void {
  const ofEngine = counts.get(engine) ?? new Map<PlaceKey, number>();
  counts.set(engine, ofEngine);
  ofEngine.set(place, (ofEngine.get(place) ?? 0) + 1);
  let hasEnded = false;
  return () => {
    if (hasEnded) return;
    hasEnded = true;
    const left = (ofEngine.get(place) ?? 1) - 1;
    if (left > 0) ofEngine.set(place, left);
    else ofEngine.delete(place);
  };
}
