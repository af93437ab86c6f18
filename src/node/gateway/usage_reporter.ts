import { type Cancel, type Millis, millis } from "../../core/clock.ts";
import {
  confirmContents,
  recordContents,
} from "../../core/gateway/adapter_directory.ts";
import type {
  EngineBacklog,
  EngineUsage,
  OwnerReport,
} from "../../core/gateway/engine_backlog.ts";
import { estimateBacklogWait } from "../../core/gateway/engine_backlog.ts";
import {
  createReportSchedule,
  type ReportSchedule,
  type ReportTarget,
  takeDueReports,
} from "../../core/gateway/report_schedule.ts";
import type { MachineName, ModelAdapterKey, ServerId } from "../../core/ids.ts";
import type { UsageChannel, UsageMessage } from "../../ports/gateway.ts";
import type { GatewayContext } from "./context.ts";
import type { EngineControllers } from "./engine_controllers.ts";
import type { LeaseManager } from "./lease_manager.ts";

/** Interval of checks for usage that is due to be reported to an owner, in ms. */
const checkInterval = millis(150);
/** Assumed time that a request runs before any has ended, in ms, and the weight of each that ends. */
const initialRunTime = 1_500;
const runTimeWeight = 0.05;
/** Age from which the backlog that an owner reported is ignored, in ms. */
const backlogLifetime = 2_000;

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
  runningRequests: number;
  /** Whether the latest changes have not been reported to the owner. */
  hasUnreportedChanges: boolean;
};

/** Contents of an engine that the node knows from its owner. */
type KnownContents = { readonly from: MachineName; readonly version: number };

/**
 * Reports to the owners of engines which adapters this node's requests use, and
 * receives from them the backlog of the other nodes. The messages also show
 * which nodes are alive.
 */
export class UsageReporter {
  readonly #options: UsageReporterOptions;
  readonly #usage = new Map<ServerId, LocalUsage>();
  readonly #backlogs = new Map<
    ServerId,
    EngineBacklog & { readonly at: Millis }
  >();
  readonly #contents = new Map<ServerId, KnownContents>();
  /** Moving average of the time that a request runs, in ms. */
  #runTime = initialRunTime;
  readonly #schedule: ReportSchedule;
  #cancel: Cancel = () => {};

  private constructor(options: UsageReporterOptions) {
    this.#options = options;
    this.#schedule = createReportSchedule(options.context.now());
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
    const { context } = this.#options;
    const startedAt = context.now();
    usage.started.add(key);
    usage.runningRequests++;
    const release = countRequest(usage, usage.running, key);
    return once(() => {
      usage.runningRequests--;
      const runTime = context.now() - startedAt;
      this.#runTime += (runTime - this.#runTime) * runTimeWeight;
      release();
    });
  }

  /** Records the requests of the other nodes at an engine. */
  recordBacklog(engine: ServerId, backlog: EngineBacklog): void {
    const at = this.#options.context.now();
    this.#backlogs.set(engine, { ...backlog, at });
  }

  /** Expected delay of a request at an engine by the requests of all nodes, in ms. */
  estimateWait(engine: ServerId, promptTokens: number): Millis {
    const { context } = this.#options;
    const own = this.#usage.get(engine);
    const reported = this.#backlogs.get(engine);
    const others =
      reported !== undefined && context.now() < reported.at + backlogLifetime
        ? reported
        : undefined;
    const backlog: EngineBacklog = {
      requests: (own?.requests ?? 0) + (others?.requests ?? 0),
      tokens: (own?.tokens ?? 0) + (others?.tokens ?? 0),
      running: (own?.runningRequests ?? 0) + (others?.running ?? 0),
    };
    const slots = context.directory.servers.get(engine)?.slots ?? 1;
    const pace = { slots, runTime: this.#runTime };
    return estimateBacklogWait(backlog, pace, promptTokens);
  }

  /** Drops the counts of an engine that is gone. */
  forget(engine: ServerId): void {
    this.#usage.delete(engine);
    this.#backlogs.delete(engine);
    this.#contents.delete(engine);
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
        runningRequests: 0,
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
    const targets = [...byHolder].map(([holder, engines]) =>
      this.#describeTarget(holder, engines),
    );
    for (const holder of takeDueReports(
      this.#schedule,
      targets,
      context.now(),
    )) {
      this.#report(holder, byHolder.get(holder) ?? []);
    }
  }

  #describeTarget(
    machine: MachineName,
    engines: readonly ServerId[],
  ): ReportTarget {
    const { context, leases } = this.#options;
    const { machine: own, region, regions } = context.dependencies.identity;
    const usages = engines.flatMap((engine) => this.#usage.get(engine) ?? []);
    return {
      machine,
      isInRegion: engines.some((engine) => {
        const server = context.directory.servers.get(engine);
        return server && regions.get(server.dataCentre) === region;
      }),
      isWatched:
        machine === own || engines.some((engine) => leases.isWatched(engine)),
      isBusy: usages.some(
        ({ running, queued }) => running.size > 0 || queued.size > 0,
      ),
      hasChanges: usages.some(
        ({ hasUnreportedChanges }) => hasUnreportedChanges,
      ),
      unansweredSince: leases.findUnansweredSince(machine),
    };
  }

  #report(holder: MachineName, engines: readonly ServerId[]): void {
    const { context, leases, engineControllers, channel } = this.#options;
    const { machine: from } = context.dependencies.identity;
    const usages = engines.map((engine) => this.#takeUsage(engine, holder));
    if (holder === from) {
      const reports = engineControllers.recordUsage(from, usages);
      this.#recordOwnerReports(from, reports);
      return;
    }
    const address = leases.findAddress(holder);
    if (address === undefined) return;
    leases.recordRequest(holder);
    channel.send(address, { type: "use", from, engines: usages });
  }

  #takeUsage(engine: ServerId, holder: MachineName): EngineUsage {
    const known = this.#contents.get(engine);
    const contentsVersion = known?.from === holder ? known.version : 0;
    const usage = this.#usage.get(engine);
    if (usage === undefined) {
      return {
        engine,
        ran: [],
        queuedAdapters: [],
        queuedRequests: 0,
        queuedTokens: 0,
        runningRequests: 0,
        contentsVersion,
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
      runningRequests: usage.runningRequests,
      contentsVersion,
    };
  }

  #receive(message: UsageMessage, address: string): void {
    const { context, leases, engineControllers, channel } = this.#options;
    leases.recordContact(message.from);
    if (message.type === "load")
      return this.#recordOwnerReports(message.from, message.engines);
    const engines = engineControllers.recordUsage(
      message.from,
      message.engines,
    );
    const { machine: from } = context.dependencies.identity;
    channel.send(address, { type: "load", from, engines });
  }

  #recordOwnerReports(
    from: MachineName,
    reports: readonly OwnerReport[],
  ): void {
    const at = this.#options.context.now();
    const { adapterDirectory } = this.#options.context;
    for (const report of reports) {
      const { engine, availableAdapters, requests, tokens, running } = report;
      this.recordBacklog(engine, { requests, tokens, running });
      this.#contents.set(engine, { from, version: report.contentsVersion });
      if (availableAdapters === undefined) {
        confirmContents(adapterDirectory, engine, at);
      } else {
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
