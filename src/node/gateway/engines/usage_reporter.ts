import { type Cancel, type Millis, millis } from "../../../core/clock.ts";
import {
  confirmContents,
  recordContents,
} from "../../../core/gateway/adapter_directory.ts";
import {
  type DelayParts,
  type EngineBacklog,
  type EngineUsage,
  estimateBacklogDelay,
  estimateOwnPrompt,
  type OwnerReport,
} from "../../../core/gateway/engine_backlog.ts";
import { estimateLoad } from "../../../core/gateway/engine_ranking.ts";
import {
  type ExpectedWait,
  expectEngineWait,
} from "../../../core/gateway/expected_wait.ts";
import {
  createReportSchedule,
  type ReportSchedule,
  type ReportTarget,
  takeDueReports,
} from "../../../core/gateway/report_schedule.ts";
import type { RequestWork } from "../../../core/gateway/request_work.ts";
import { estimateDistance } from "../../../core/gateway/server_distance.ts";
import {
  forgetPace,
  readPromptRates,
  readSlowness,
} from "../../../core/gateway/server_pace.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type {
  MachineName,
  ModelAdapterKey,
  ServerId,
} from "../../../core/ids.ts";
import type { NodeChannel, UsageMessage } from "../../../ports/nodes.ts";
import type { GatewayContext } from "../context.ts";
import type { PeerContacts } from "../peers/peer_contacts.ts";
import type { LeaseManager } from "../rows/lease_manager.ts";
import type { EngineControllers } from "./engine_controllers.ts";
import type { EngineUsageCounter } from "./engine_usage.ts";

/** Interval of checks for usage that is due to be reported to an owner, in ms. */
const checkInterval = millis(150);
/** Age from which the backlog that an owner reported is ignored, in ms. */
const backlogLifetime = 2_000;

const noTime = millis(0);
const emptyBacklog: EngineBacklog = { requests: 0, tokens: 0, running: 0 };

type UsageReporterOptions = {
  readonly context: GatewayContext;
  readonly leases: LeaseManager;
  readonly contacts: PeerContacts;
  readonly engineControllers: EngineControllers;
  readonly usage: EngineUsageCounter;
  readonly channel: NodeChannel;
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
  readonly #backlogs = new Map<
    ServerId,
    EngineBacklog & { readonly at: Millis }
  >();
  readonly #contents = new Map<ServerId, KnownContents>();
  readonly #schedule: ReportSchedule;
  #cancel: Cancel = () => {};

  private constructor(options: UsageReporterOptions) {
    this.#options = options;
    this.#schedule = createReportSchedule(options.context.now());
  }

  static create(options: UsageReporterOptions): UsageReporter {
    const reporter = new UsageReporter(options);
    reporter.#tick();
    return reporter;
  }

  /** Records the requests of the other nodes at an engine. */
  recordBacklog(engine: ServerId, backlog: EngineBacklog): void {
    const at = this.#options.context.now();
    this.#backlogs.set(engine, { ...backlog, at });
  }

  /** Expected delay of a request at an engine by the requests of all nodes, in ms. */
  estimateWait(engine: ServerId, promptTokens: number): Millis {
    const server = this.#options.context.directory.servers.get(engine);
    if (server === undefined) return millis(0);
    return this.#expectWait(server, promptTokens, noTime).queue;
  }

  /** Expected time at an engine until the answer begins, without a load and the way there, in ms. */
  estimateAnswer(engine: ServerId, promptTokens: number): Millis {
    const server = this.#options.context.directory.servers.get(engine);
    if (server === undefined) return millis(0);
    const { queue, prompt } = this.#expectWait(server, promptTokens, noTime);
    return millis(queue + prompt);
  }

  /** Expected wait of a request at an engine, by its parts. */
  expectWait(
    server: BackendServer,
    { promptTokens, adapter }: RequestWork,
  ): ExpectedWait {
    const load =
      adapter === undefined ? noTime : this.#estimateLoad(server.id, adapter);
    return this.#expectWait(server, promptTokens, load);
  }

  /** Delay of a request by all requests at an engine, as expected of the mean engine of its service. */
  describeDelay(server: BackendServer, promptTokens: number): DelayParts {
    const backlog = this.#sumBacklog(server.id);
    const pace = this.#describePace(server);
    const delay = estimateBacklogDelay(backlog, pace, promptTokens);
    const own = estimateOwnPrompt(pace.rates, promptTokens);
    return {
      ...delay,
      prompts: delay.prompts + own.prompts,
      tokens: delay.tokens + own.tokens,
    };
  }

  #expectWait(
    server: BackendServer,
    promptTokens: number,
    load: Millis,
  ): ExpectedWait {
    const { context } = this.#options;
    const state = {
      backlog: this.#sumBacklog(server.id),
      pace: this.#describePace(server),
      slowness: readSlowness(context.paces, server, context.now()),
      load,
      distance: estimateDistance(server, context.location),
    };
    return expectEngineWait(state, promptTokens);
  }

  /** Time until an engine has an adapter, in ms. */
  #estimateLoad(engine: ServerId, key: ModelAdapterKey): Millis {
    const { context } = this.#options;
    const { adapterDirectory, loadTimes, versions } = context;
    const now = context.now();
    const requested = { key, version: versions.get(key) ?? 0 };
    return estimateLoad(adapterDirectory, engine, {
      requested,
      loadTimes,
      now,
    });
  }

  #describePace(server: BackendServer) {
    const { context, usage } = this.#options;
    const rates = readPromptRates(context.paces, server.service);
    return { slots: server.slots, runTime: usage.runTime, rates };
  }

  /** Requests of all nodes at an engine, as far as known. */
  #sumBacklog(engine: ServerId): EngineBacklog {
    const { context, usage } = this.#options;
    const own = usage.getBacklog(engine);
    const reported = this.#backlogs.get(engine);
    const isRecent =
      reported !== undefined && context.now() < reported.at + backlogLifetime;
    const others = isRecent ? reported : emptyBacklog;
    return {
      requests: own.requests + others.requests,
      tokens: own.tokens + others.tokens,
      running: own.running + others.running,
    };
  }

  /** Drops the counts of an engine that is gone. */
  forget(engine: ServerId): void {
    this.#options.usage.forget(engine);
    forgetPace(this.#options.context.paces, engine);
    this.#backlogs.delete(engine);
    this.#contents.delete(engine);
  }

  stop(): void {
    this.#cancel();
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
    const { context, leases, contacts, usage } = this.#options;
    const { machine: own, region, regions } = context.dependencies.identity;
    return {
      machine,
      isInRegion: engines.some((engine) => {
        const server = context.directory.servers.get(engine);
        return server && regions.get(server.dataCentre) === region;
      }),
      isWatched:
        machine === own || engines.some((engine) => leases.isWatched(engine)),
      isBusy: engines.some((engine) => usage.isBusy(engine)),
      hasChanges: engines.some((engine) => usage.hasChanges(engine)),
      unansweredSince: contacts.findUnansweredSince(machine),
    };
  }

  #report(holder: MachineName, engines: readonly ServerId[]): void {
    const { context, leases, contacts, engineControllers, channel } =
      this.#options;
    const { machine: from } = context.dependencies.identity;
    const usages = engines.map((engine) => this.#takeUsage(engine, holder));
    if (holder === from) {
      const reports = engineControllers.recordUsage(from, usages);
      this.#recordOwnerReports(from, reports);
      return;
    }
    const address = leases.findAddress(holder);
    if (address === undefined) return;
    contacts.recordRequest(holder);
    channel.send(address, { type: "use", from, engines: usages });
  }

  #takeUsage(engine: ServerId, holder: MachineName): EngineUsage {
    const known = this.#contents.get(engine);
    const contentsVersion = known?.from === holder ? known.version : 0;
    return { ...this.#options.usage.take(engine), contentsVersion };
  }

  /** Handles a message that another node has sent from this address. */
  receive(message: UsageMessage, address: string): void {
    const { context, engineControllers, channel } = this.#options;
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
