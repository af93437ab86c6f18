import { type Cancel, type Millis, millis } from "../../core/clock.ts";
import { recordContents } from "../../core/gateway/adapter_directory.ts";
import type {
  EngineBacklog,
  EngineUsage,
  OwnerReport,
} from "../../core/gateway/engine_backlog.ts";
import { estimateBacklogWait } from "../../core/gateway/engine_backlog.ts";
import type { MachineName, ModelAdapterKey, ServerId } from "../../core/ids.ts";
import type { UsageChannel, UsageMessage } from "../../ports/gateway.ts";
import type { GatewayContext } from "./context.ts";
import type { EngineControllers } from "./engine_controllers.ts";
import type { LeaseManager } from "./lease_manager.ts";

/** Interval of checks for usage that is due to be reported to an owner, in ms. */
const checkInterval = millis(150);
/** Interval of reports to an owner while its engines are in use, in ms. */
const busyReportInterval = 300;
/** Interval of reports to an owner while its engines are idle, in ms. */
const idleReportInterval = 900;
/** Age from which the backlog that an owner reported is ignored, in ms. */
const ownerReportLifetime = 2_000;

type UsageReporterOptions = {
  readonly context: GatewayContext;
  readonly leases: LeaseManager;
  readonly engineControllers: EngineControllers;
  readonly channel: UsageChannel;
};

/** Requests of this node at one engine. */
type LocalUsage = {
  readonly running: Map<ModelAdapterKey, number>;
  readonly queued: Map<ModelAdapterKey, number>;
  /** Adapters on which requests started since the last report. */
  readonly started: Set<ModelAdapterKey>;
  requests: number;
  tokens: number;
  /** Whether the latest changes have not been reported to the owner. */
  hasUnreportedChanges: boolean;
};

/**
 * Reports to the owners of engines which adapters this node's requests use, and
 * receives from them the backlog of the other nodes. The messages also show
 * which nodes are alive.
 */
export class UsageReporter {
  readonly #options: UsageReporterOptions;
  readonly #usage = new Map<ServerId, LocalUsage>();
  readonly #ownerReports = new Map<
    ServerId,
    OwnerReport & { readonly at: Millis }
  >();
  readonly #reportedAt = new Map<MachineName, Millis>();
  #cancel: Cancel = () => {};

  private constructor(options: UsageReporterOptions) {
    this.#options = options;
  }

  static create(options: UsageReporterOptions): UsageReporter {
    const reporter = new UsageReporter(options);
    options.channel.onMessage((message, from) =>
      reporter.#receive(message, from),
    );
    reporter.#tick();
    return reporter;
  }

  /** Counts a request that was sent to an engine; the returned function ends the count. */
  trackSent(
    engine: ServerId,
    key: ModelAdapterKey,
    tokens: number,
  ): () => void {
    const usage = this.#obtain(engine);
    usage.requests++;
    usage.tokens += tokens;
    const release = countRequest(usage, usage.queued, key);
    return once(() => {
      usage.requests--;
      usage.tokens -= tokens;
      release();
    });
  }

  /** Counts a request that runs on an adapter; the returned function ends the count. */
  trackRunning(engine: ServerId, key: ModelAdapterKey): () => void {
    const usage = this.#obtain(engine);
    usage.started.add(key);
    return once(countRequest(usage, usage.running, key));
  }

  /** Expected wait at an engine behind the queued requests of all nodes, in ms. */
  estimateWait(engine: ServerId): Millis {
    const own = this.#usage.get(engine);
    const others = this.#ownerReports.get(engine);
    const isRecent =
      others !== undefined &&
      this.#options.context.now() < others.at + ownerReportLifetime;
    const backlog: EngineBacklog = {
      requests: (own?.requests ?? 0) + (isRecent ? others.requests : 0),
      tokens: (own?.tokens ?? 0) + (isRecent ? others.tokens : 0),
    };
    return estimateBacklogWait(backlog);
  }

  /** Drops the counts of an engine that is gone. */
  forget(engine: ServerId): void {
    this.#usage.delete(engine);
    this.#ownerReports.delete(engine);
  }

  stop(): void {
    this.#cancel();
  }

  #obtain(engine: ServerId): LocalUsage {
    let usage = this.#usage.get(engine);
    if (usage === undefined) {
      usage = {
        running: new Map(),
        queued: new Map(),
        started: new Set(),
        requests: 0,
        tokens: 0,
        hasUnreportedChanges: false,
      };
      this.#usage.set(engine, usage);
    }
    return usage;
  }

  #tick(): void {
    const { context } = this.#options;
    this.#cancel = context.dependencies.clock.schedule(checkInterval, () =>
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
    if (age >= idleReportInterval) return true;
    return engines.some((engine) => {
      const usage = this.#usage.get(engine);
      if (usage === undefined) return false;
      const isBusy = usage.running.size > 0 || usage.queued.size > 0;
      return (
        usage.hasUnreportedChanges || (isBusy && age >= busyReportInterval)
      );
    });
  }

  #report(holder: MachineName, engines: readonly ServerId[]): void {
    const { context, leases, engineControllers, channel } = this.#options;
    const { machine: from } = context.dependencies.identity;
    this.#reportedAt.set(holder, context.now());
    const usages = engines.map((engine) => this.#takeUsage(engine));
    if (holder === from) {
      this.#recordOwnerReports(engineControllers.recordUsage(from, usages));
      return;
    }
    const address = leases.findAddress(holder);
    if (address === undefined) return;
    channel.send(address, { type: "use", from, engines: usages });
  }

  #takeUsage(engine: ServerId): EngineUsage {
    const usage = this.#usage.get(engine);
    if (usage === undefined) {
      return {
        engine,
        ran: [],
        queuedAdapters: [],
        queuedRequests: 0,
        queuedTokens: 0,
      };
    }
    const ran = new Set([...usage.running.keys(), ...usage.started]);
    // Requests that have already ended make another report due, which omits their adapters.
    usage.hasUnreportedChanges = ran.size > usage.running.size;
    usage.started.clear();
    return {
      engine,
      ran: [...ran],
      queuedAdapters: [...usage.queued.keys()],
      queuedRequests: usage.requests,
      queuedTokens: usage.tokens,
    };
  }

  #receive(message: UsageMessage, address: string): void {
    const { context, leases, engineControllers, channel } = this.#options;
    leases.recordContact(message.from);
    if (message.type === "load")
      return this.#recordOwnerReports(message.engines);
    const engines = engineControllers.recordUsage(
      message.from,
      message.engines,
    );
    const { machine: from } = context.dependencies.identity;
    channel.send(address, { type: "load", from, engines });
  }

  #recordOwnerReports(reports: readonly OwnerReport[]): void {
    const at = this.#options.context.now();
    const { adapterDirectory } = this.#options.context;
    for (const report of reports) {
      const { engine, availableAdapters } = report;
      this.#ownerReports.set(engine, { ...report, at });
      if (availableAdapters !== undefined) {
        recordContents(adapterDirectory, engine, {
          availableAdapters,
          now: at,
        });
      }
    }
  }
}

function countRequest(
  usage: LocalUsage,
  counts: Map<ModelAdapterKey, number>,
  key: ModelAdapterKey,
): () => void {
  usage.hasUnreportedChanges = true;
  counts.set(key, (counts.get(key) ?? 0) + 1);
  return () => {
    usage.hasUnreportedChanges = true;
    const left = (counts.get(key) ?? 1) - 1;
    if (left > 0) counts.set(key, left);
    else counts.delete(key);
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
