import { millis } from "../../../core/clock.ts";
import { findReadyAt } from "../../../core/gateway/adapter_directory.ts";
import { decideBegin } from "../../../core/gateway/begin_in_time.ts";
import {
  findRoute,
  type GatewayRoute,
} from "../../../core/gateway/configuration.ts";
import {
  type AdapterState,
  type CreditOutlook,
  type DryRun,
  type DryRunQuery,
  type DryRunVerdict,
  describeRefusal,
  findNamedOrganisation,
  judgeDryRun,
  listShares,
  type ServerObstacle,
  type ServerOutlook,
} from "../../../core/gateway/dry_run.ts";
import type { ExpectedWait } from "../../../core/gateway/expected_wait.ts";
import type { Organisation } from "../../../core/gateway/organisations.ts";
import { countUnits } from "../../../core/gateway/quota_terms.ts";
import type { RequestWork } from "../../../core/gateway/request_work.ts";
import { isSuspended } from "../../../core/gateway/server_health.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { ServiceName } from "../../../core/ids.ts";
import type { Refusal } from "../../../core/results/refusal.ts";
import type { ModelDemand } from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import { holdsModel, type ServerSelector } from "../servers/server_selector.ts";
import { describeWork, type RequestPlan } from "./request_intake.ts";
import { refuseTooLate, refuseWhileStopping } from "./request_refusals.ts";
import { RequestTimeLimits } from "./request_time_limits.ts";
import { findRequestUrgency } from "./request_urgency.ts";
import { describeNeed } from "./server_need.ts";

/** What a dry run reads of the tasks of its gateway. */
export type RequestDryRunOptions = {
  readonly context: GatewayContext;
  readonly selector: ServerSelector;
  readonly expectWait: (
    server: BackendServer,
    work: RequestWork,
  ) => ExpectedWait;
  readonly describeCredit: (
    organisation: Organisation,
    units: number,
  ) => CreditOutlook | undefined;
};

/** Any server may serve a new request. */
const isEligible = () => true;

/** Describes where requests would go now; reads the state of the node and changes nothing. */
export class RequestDryRun {
  readonly #options: RequestDryRunOptions;

  private constructor(options: RequestDryRunOptions) {
    this.#options = options;
  }

  static create(options: RequestDryRunOptions): RequestDryRun {
    return new RequestDryRun(options);
  }

  /** Describes where a request would go. */
  describe(query: DryRunQuery): DryRun {
    const { configuration } = this.#options.context;
    if (configuration === undefined) {
      const detail = "The node has not read its configuration yet";
      return { kind: "refused", code: "notReady", detail };
    }
    const route = findRoute(configuration, query);
    if (route === undefined) {
      const detail = `No route matches ${query.host}${query.path}`;
      return { kind: "refused", code: "unknownRoute", detail };
    }
    const { organisations, revision } = configuration;
    const found = findNamedOrganisation(
      organisations,
      route,
      query.organisation,
    );
    if (found !== undefined && "code" in found) return describeRefusal(found);
    const demand = toDemand(query);
    const credit = this.#describeCredit(found, demand);
    const priority = found?.priority ?? route.priority;
    return {
      kind: "routed",
      revision,
      route: route.name,
      priority,
      organisation: found?.name,
      credit,
      services: listShares(route).map(({ service, share }) => ({
        service,
        share,
        servers: this.#listServers(service, demand),
        verdict: this.#judge(
          this.#plan(route, service, found, demand),
          demand,
          credit,
        ),
      })),
    };
  }

  #describeCredit(
    organisation: Organisation | undefined,
    demand: ModelDemand | undefined,
  ): CreditOutlook | undefined {
    if (organisation?.quota === undefined) return undefined;
    const tokens = demand && demand.promptTokens + demand.answerTokens;
    const units = countUnits(organisation.quota, tokens);
    return this.#options.describeCredit(organisation, units);
  }

  #plan(
    route: GatewayRoute,
    service: ServiceName,
    organisation: Organisation | undefined,
    demand: ModelDemand | undefined,
  ): RequestPlan {
    const arrivedAt = this.#options.context.now();
    return {
      route,
      service,
      kind: { route: route.name, service },
      limits: RequestTimeLimits.create(
        { arrivedAt, deadline: undefined },
        route,
      ),
      organisation,
      priority: organisation?.priority ?? route.priority,
      work: describeWork({ demand }),
    };
  }

  #judge(
    plan: RequestPlan,
    demand: ModelDemand | undefined,
    credit: CreditOutlook | undefined,
  ): DryRunVerdict {
    const { context, selector } = this.#options;
    const { service, limits } = plan;
    const now = context.now();
    const preview = selector.preview(service, { demand, isEligible });
    const resumption = selector.findResumption(service, { demand, isEligible });
    return judgeDryRun({
      reachesNoServer: context.reach.isLost,
      stopRefusal: this.#refuseWhileStopping(plan),
      credit,
      isBehindOthers: this.#isBehindOthers(plan, demand),
      selected: preview && {
        server: preview.server.id,
        asksOwner: preview.asksOwner,
        lateRefusal: this.#refuseIfLate(plan, demand, preview.server),
      },
      model: selector.findModelState(service, demand),
      resumesAt: resumption?.at,
      waitEnd: limits.findWaitEnd(now, true),
    });
  }

  #refuseWhileStopping({ kind, limits }: RequestPlan): Refusal | undefined {
    const { context } = this.#options;
    return context.now() > context.findLatestStart(kind, limits.end)
      ? refuseWhileStopping()
      : undefined;
  }

  #isBehindOthers(plan: RequestPlan, demand: ModelDemand | undefined): boolean {
    const { context } = this.#options;
    const { service } = plan;
    const queue = context.queues.find(service);
    if (queue === undefined) return false;
    const criteria = { service, demand, isResumption: false, isEligible };
    const arrivedAt = context.now();
    const urgency = findRequestUrgency({ arrivedAt }, plan, {
      hasServer: false,
    });
    const { key } = describeNeed({ context, ...criteria });
    // A place is in the queue only once it waits.
    return queue.join(urgency).isBehindOthers(key);
  }

  #refuseIfLate(
    { service, limits }: RequestPlan,
    demand: ModelDemand | undefined,
    selected: BackendServer,
  ): Refusal | undefined {
    const { context, selector } = this.#options;
    const waits = selector.listWaits(service, { demand, isEligible }, selected);
    const timeLeft = millis(limits.end - context.now());
    const begin = decideBegin(waits, { timeLeft, fullTime: timeLeft });
    return begin.kind === "in-time"
      ? undefined
      : refuseTooLate(begin.returnsIn);
  }

  #listServers(
    service: ServiceName,
    demand: ModelDemand | undefined,
  ): ServerOutlook[] {
    const { context, expectWait } = this.#options;
    const work = describeWork({ demand });
    return [...context.directory.servers.values()]
      .filter((server) => server.service === service)
      .map((server) => ({
        server: server.id,
        dataCentre: server.dataCentre,
        obstacle: this.#findObstacle(server, demand),
        wait: expectWait(server, work),
        adapter: this.#findAdapterState(server, work),
      }));
  }

  #findObstacle(
    server: BackendServer,
    demand: ModelDemand | undefined,
  ): ServerObstacle | undefined {
    const { context } = this.#options;
    if (server.leaving) return "leaving";
    if (demand !== undefined && !holdsModel(server, demand.model))
      return "lacks-model";
    if (isSuspended(context.health, server.id, context.now()))
      return "suspended";
    return context.availability.findObstacle(server);
  }

  #findAdapterState(
    { id }: BackendServer,
    { adapter: key }: RequestWork,
  ): AdapterState {
    if (key === undefined) return "not-needed";
    const { context } = this.#options;
    const requested = { key, version: context.versions.get(key) ?? 0 };
    const readyAt = findReadyAt(context.adapterDirectory, id, requested);
    if (readyAt === undefined) return "load-needed";
    return readyAt > context.now() ? "loading" : "held";
  }
}

function toDemand({ demand }: DryRunQuery): ModelDemand | undefined {
  if (demand === undefined) return undefined;
  return { ...demand, adapter: demand.adapter, sharedParts: [] };
}
