import { type Cancel, type Millis, millis } from "../../core/clock.ts";
import { recordContents } from "../../core/gateway/adapter_directory.ts";
import type {
  EngineBacklog,
  EngineUsage,
  OwnerReport,
} from "../../core/gateway/engine_backlog.ts";
import { estimateBacklogWait } from "../../core/gateway/engine_backlog.ts";
import type { MachineName, PlaceKey, ServerId } from "../../core/ids.ts";
import type { UseChannel, UseMessage } from "../../ports/gateway.ts";
import type { GatewayContext } from "./context.ts";
import type { EngineControllers } from "./engine_controllers.ts";
import type { LeaseManager } from "./lease_manager.ts";

/** Time between two looks for changes that owners should hear of, in ms. */
const reportPeriod = millis(150);
/** Time between two reports to an owner while its engines are in use, and while they are not, in ms. */
const busyPeriod = 300;
const idlePeriod = 900;
/** Time after which the load that an owner told is no longer counted, in ms. */
const loadLifetime = 2_000;

type UsageReporterOptions = {
  readonly context: GatewayContext;
  readonly leases: LeaseManager;
  readonly keepers: EngineControllers;
  readonly channel: UseChannel;
};

/** What one node's requests do at one engine. */
type LocalUsage = {
  readonly running: Map<PlaceKey, number>;
  readonly awaited: Map<PlaceKey, number>;
  /** Adapters on which requests began since the last report. */
  readonly began: Set<PlaceKey>;
  requests: number;
  tokens: number;
  /** The owner has not heard of the latest changes. */
  isChanged: boolean;
};

/**
 * Tells the owners of engines which adapters are in use, and hears from them
 * what the other nodes have waiting there; also shows which owners live.
 */
export class UsageReporter {
  readonly #options: UsageReporterOptions;
  readonly #uses = new Map<ServerId, LocalUsage>();
  readonly #loads = new Map<ServerId, OwnerReport & { readonly at: Millis }>();
  readonly #reportedAt = new Map<MachineName, Millis>();
  #cancel: Cancel = () => {};

  private constructor(options: UsageReporterOptions) {
    this.#options = options;
  }

  static create(options: UsageReporterOptions): UsageReporter {
    const report = new UsageReporter(options);
    options.channel.onMessage((message, from) => report.#hear(message, from));
    report.#tick();
    return report;
  }

  /** Counts a request that an engine has got; the result counts its end. */
  trackSent(engine: ServerId, place: PlaceKey, tokens: number): () => void {
    const use = this.#obtain(engine);
    use.requests++;
    use.tokens += tokens;
    const release = countUse(use, use.awaited, place);
    return once(() => {
      use.requests--;
      use.tokens -= tokens;
      release();
    });
  }

  /** Counts a request that begins to run on an adapter; the result counts its end. */
  trackRunning(engine: ServerId, place: PlaceKey): () => void {
    const use = this.#obtain(engine);
    use.began.add(place);
    return once(countUse(use, use.running, place));
  }

  /** Expected wait at an engine behind the requests of all nodes, in ms. */
  estimateWait(engine: ServerId): Millis {
    const own = this.#uses.get(engine);
    const others = this.#loads.get(engine);
    const isKnown =
      others !== undefined &&
      this.#options.context.now() < others.at + loadLifetime;
    const backlog: EngineBacklog = {
      requests: (own?.requests ?? 0) + (isKnown ? others.requests : 0),
      tokens: (own?.tokens ?? 0) + (isKnown ? others.tokens : 0),
    };
    return estimateBacklogWait(backlog);
  }

  /** Forgets an engine that is gone. */
  forget(engine: ServerId): void {
    this.#uses.delete(engine);
    this.#loads.delete(engine);
  }

  stop(): void {
    this.#cancel();
  }

  #obtain(engine: ServerId): LocalUsage {
    let use = this.#uses.get(engine);
    if (use === undefined) {
      use = {
        running: new Map(),
        awaited: new Map(),
        began: new Set(),
        requests: 0,
        tokens: 0,
        isChanged: false,
      };
      this.#uses.set(engine, use);
    }
    return use;
  }

  #tick(): void {
    const { context } = this.#options;
    this.#cancel = context.dependencies.clock.schedule(reportPeriod, () =>
      this.#tick(),
    );
    const byHolder = new Map<MachineName, ServerId[]>();
    for (const engine of context.directory.servers.keys()) {
      const holder = this.#options.leases.findHolder(engine);
      if (holder === undefined) continue;
      const engines = byHolder.get(holder);
      if (engines === undefined) byHolder.set(holder, [engine]);
      else engines.push(engine);
    }
    for (const [holder, engines] of byHolder) {
      if (this.#isDue(holder, engines)) this.#report(holder, engines);
    }
  }

  #isDue(holder: MachineName, engines: readonly ServerId[]): boolean {
    const age =
      this.#options.context.now() -
      (this.#reportedAt.get(holder) ?? Number.NEGATIVE_INFINITY);
    if (age >= idlePeriod) return true;
    return engines.some((engine) => {
      const use = this.#uses.get(engine);
      if (use === undefined) return false;
      const isBusy = use.running.size > 0 || use.awaited.size > 0;
      return use.isChanged || (isBusy && age >= busyPeriod);
    });
  }

  #report(holder: MachineName, engines: readonly ServerId[]): void {
    const { context, leases, keepers, channel } = this.#options;
    const { machine: from } = context.dependencies.identity;
    this.#reportedAt.set(holder, context.now());
    const uses = engines.map((engine) => this.#takeUse(engine));
    if (holder === from) {
      this.#noteLoads(keepers.recordUsage(from, uses));
      return;
    }
    const address = leases.findAddress(holder);
    if (address === undefined) return;
    channel.send(address, { type: "use", from, engines: uses });
  }

  #takeUse(engine: ServerId): EngineUsage {
    const use = this.#uses.get(engine);
    if (use === undefined) {
      return {
        engine,
        ran: [],
        queuedAdapters: [],
        queuedRequests: 0,
        queuedTokens: 0,
      };
    }
    const ran = new Set([...use.running.keys(), ...use.began]);
    // Adapters whose requests have ended already are reported as released next time.
    use.isChanged = ran.size > use.running.size;
    use.began.clear();
    return {
      engine,
      ran: [...ran],
      queuedAdapters: [...use.awaited.keys()],
      queuedRequests: use.requests,
      queuedTokens: use.tokens,
    };
  }

  #hear(message: UseMessage, address: string): void {
    const { context, leases, keepers, channel } = this.#options;
    leases.recordContact(message.from);
    if (message.type === "load") return this.#noteLoads(message.engines);
    const engines = keepers.recordUsage(message.from, message.engines);
    const { machine: from } = context.dependencies.identity;
    channel.send(address, { type: "load", from, engines });
  }

  #noteLoads(loads: readonly OwnerReport[]): void {
    const at = this.#options.context.now();
    const { adapterDirectory: holdings } = this.#options.context;
    for (const load of loads) {
      const { engine, availableAdapters: places } = load;
      this.#loads.set(engine, { ...load, at });
      if (places !== undefined) {
        recordContents(holdings, engine, {
          availableAdapters: places,
          now: at,
        });
      }
    }
  }
}

function countUse(
  use: LocalUsage,
  counts: Map<PlaceKey, number>,
  place: PlaceKey,
): () => void {
  use.isChanged = true;
  counts.set(place, (counts.get(place) ?? 0) + 1);
  return () => {
    use.isChanged = true;
    const left = (counts.get(place) ?? 1) - 1;
    if (left > 0) counts.set(place, left);
    else counts.delete(place);
  };
}

function once(action: () => void): () => void {
  let isDone = false;
  return () => {
    if (isDone) return;
    isDone = true;
    action();
  };
}
