import type { Clock, Millis } from "../../core/clock.ts";
import {
  type AdapterDirectory,
  createAdapterDirectory,
} from "../../core/gateway/adapter_directory.ts";
import { ByteBudget } from "../../core/gateway/byte_budget.ts";
import type { ServerSelectionContext } from "../../core/gateway/choose_server.ts";
import type { GatewayConfiguration } from "../../core/gateway/configuration.ts";
import {
  createLoadTimes,
  type LoadTimes,
} from "../../core/gateway/load_times.ts";
import type { QuotaTolerance } from "../../core/gateway/quota_terms.ts";
import {
  createRunTimes,
  findLongestRun,
  type RunKind,
  type RunTimes,
} from "../../core/gateway/run_times.ts";
import type { NodeLocation } from "../../core/gateway/server_distance.ts";
import {
  createServerHealth,
  type ServerHealth,
} from "../../core/gateway/server_health.ts";
import type { OverloadView } from "../../core/gateway/server_overload.ts";
import {
  createPaceTable,
  type PaceTable,
} from "../../core/gateway/server_pace.ts";
import {
  createServerDirectory,
  type ServerDirectory,
} from "../../core/gateway/servers.ts";
import {
  type BudgetMoment,
  canEarnRetry,
  createServiceRetryBudget,
  recordRequest,
  type ServiceRetryBudget,
  type ServiceRetryLimits,
  takeEarnedRetry,
  takeRetry,
} from "../../core/gateway/service_retry_budget.ts";
import { ShareTracker } from "../../core/gateway/slack_share.ts";
import type { LatestStart } from "../../core/gateway/stopping.ts";
import {
  type AttemptToken,
  brandString,
  type DataCentre,
  type MachineName,
  type ModelAdapterKey,
  type Region,
  type ServiceName,
} from "../../core/ids.ts";
import type { EventBacklog } from "../../ports/event_backlog.ts";
import type { ReportFailure } from "../../ports/failures.ts";
import type { ProbeServer, ServerLinks } from "../../ports/gateway.ts";
import type { Journal, Meter } from "../../ports/journal.ts";
import type { ReadProcessorTime } from "./pause_watch.ts";
import { WaitQueues } from "./requests/wait_queues.ts";
import { ReachWatch } from "./servers/reach_watch.ts";
import { ServerAvailability } from "./servers/server_availability.ts";

/** Maximum size of all answers together that are kept until they are complete, in bytes. */
const maxBufferedAnswers = 32 * 1024 * 1024;

/** Identity, location and peer address of a node. */
export type NodeIdentity = {
  readonly machine: MachineName;
  /** Differs at each start of the process. */
  readonly process: string;
  readonly dataCentre: DataCentre;
  readonly region: Region;
  readonly regions: ReadonlyMap<DataCentre, Region>;
  /** `IP:PORT` of the peer listener. */
  readonly peerAddress: string;
  /** Processor cores that the process may use; undefined if its settings do not say. */
  readonly capacity?: number | undefined;
};

/** Port implementations and settings that all tasks of a gateway share. */
export type GatewayDependencies = {
  readonly identity: NodeIdentity;
  readonly clock: Clock;
  readonly random: () => number;
  readonly journal: Journal;
  readonly meter: Meter;
  /** Reports unexpected errors; they are discarded without it. */
  readonly reportFailure?: ReportFailure;
  readonly links: ServerLinks;
  readonly probe: ProbeServer;
  readonly backlog: EventBacklog;
  readonly retryLimits: ServiceRetryLimits;
  /** By how much the work of an organisation may exceed its quota; not at all without it. */
  readonly quotaTolerance?: QuotaTolerance;
  /** Budget of all that the process holds for callers; kept answers have a limit of their own without. */
  readonly held?: ByteBudget;
  readonly readProcessorTime?: ReadProcessorTime;
};

/** Planned stop of the process. */
export type PlannedStop = {
  readonly startedAt: Millis;
  /** Time at which the process exits at the latest. */
  readonly exitAt: Millis;
  /** Until when requests are still sent to servers. */
  readonly findLatestStart: LatestStart;
};

/** State that the tasks of one gateway share; written by the gateway, read by its requests. */
export class GatewayContext {
  readonly dependencies: GatewayDependencies;
  readonly directory: ServerDirectory = createServerDirectory();
  readonly health: ServerHealth = createServerHealth();
  readonly loadTimes: LoadTimes = createLoadTimes();
  /** Speed of the servers, as the answers show it. */
  readonly paces: PaceTable = createPaceTable();
  /** Servers without models that have more requests than slots. */
  readonly overloads: OverloadView = new Map();
  readonly availability: ServerAvailability;
  readonly reach: ReachWatch;
  /** Requests that wait for servers. */
  readonly queues: WaitQueues;
  readonly adapterDirectory: AdapterDirectory = createAdapterDirectory();
  /** Newest declared version of each adapter. */
  readonly versions = new Map<ModelAdapterKey, number>();
  configuration: GatewayConfiguration | undefined;
  /** Present once the process is being stopped. */
  stop: PlannedStop | undefined;
  readonly runTimes: RunTimes = createRunTimes();
  /** Number of known nodes, this one included. */
  nodeCount = 1;
  /** Share of this node in the slack of the retry budget. */
  readonly slackShare: ShareTracker;
  /** Limits the answers that are kept until they are complete. */
  readonly answerBudget: ByteBudget;
  #attempts = 0;
  readonly #retryBudgets = new Map<ServiceName, ServiceRetryBudget>();

  private constructor(dependencies: GatewayDependencies) {
    this.dependencies = dependencies;
    this.queues = WaitQueues.create(dependencies);
    this.answerBudget = ByteBudget.create(
      maxBufferedAnswers,
      dependencies.held,
    );
    this.slackShare = ShareTracker.create(dependencies.retryLimits.window);
    this.reach = ReachWatch.create({
      ...dependencies,
      directory: this.directory,
    });
    this.availability = ServerAvailability.create({
      ...dependencies,
      health: this.health,
      countNodes: () => this.nodeCount,
      directory: this.directory,
    });
  }

  static create(dependencies: GatewayDependencies): GatewayContext {
    return new GatewayContext(dependencies);
  }

  now(): Millis {
    return this.dependencies.clock.now();
  }

  /** Creates the token of one write to the table. */
  createAttemptToken(): AttemptToken {
    this.#attempts++;
    const { process } = this.dependencies.identity;
    return brandString(`${process}/${this.#attempts}`);
  }

  /** Where the node stands. */
  get location(): NodeLocation {
    const { dataCentre, region, regions } = this.dependencies.identity;
    return { dataCentre, region, regionOf: (other) => regions.get(other) };
  }

  selectionContext(): ServerSelectionContext & {
    readonly adapterDirectory: AdapterDirectory;
  } {
    return {
      ...this.location,
      health: this.health,
      adapterDirectory: this.adapterDirectory,
      now: this.now(),
    };
  }

  /** Latest time at which a request with a time limit may be sent; infinite unless the node stops. */
  findLatestStart(kind: RunKind, limit: Millis): number {
    if (this.stop === undefined) return Number.POSITIVE_INFINITY;
    const { exitAt, findLatestStart } = this.stop;
    const longestRun = findLongestRun(this.runTimes, kind, this.now());
    return findLatestStart({ exitAt, limit, longestRun });
  }

  /** Adds a request to the retry budget of its service. */
  countRequest(service: ServiceName): void {
    recordRequest(this.#obtainRetryBudget(service), this.#budgetMoment());
  }

  /** Takes one retry from this node's budget; false if it is spent. */
  takeRetry(service: ServiceName): boolean {
    const budget = this.#obtainRetryBudget(service);
    const taken = takeRetry(budget, this.#budgetMoment());
    const { meter } = this.dependencies;
    if (taken) meter.count("gateway_repeats_total", { service });
    else meter.count("gateway_repeats_denied_total", { service });
    return taken;
  }

  /** Takes a retry that was refused before, once the budget holds a whole one. */
  takeEarnedRetry(service: ServiceName): boolean {
    const budget = this.#obtainRetryBudget(service);
    const taken = takeEarnedRetry(budget, this.#budgetMoment());
    if (taken)
      this.dependencies.meter.count("gateway_repeats_total", { service });
    return taken;
  }

  /** Whether it is of use to wait for a retry of this node's budget. */
  canEarnRetry(service: ServiceName): boolean {
    const budget = this.#obtainRetryBudget(service);
    return canEarnRetry(budget, this.#budgetMoment());
  }

  #budgetMoment(): BudgetMoment {
    const now = this.now();
    const { random } = this.dependencies;
    return { now, share: this.slackShare.find(now), random };
  }

  #obtainRetryBudget(service: ServiceName): ServiceRetryBudget {
    let budget = this.#retryBudgets.get(service);
    if (budget === undefined) {
      const { retryLimits } = this.dependencies;
      budget = createServiceRetryBudget(retryLimits, this.now());
      this.#retryBudgets.set(service, budget);
    }
    return budget;
  }
}
