import { type Either, Just, type Maybe, Nothing } from "purify-ts";
import {
  type AdmissionState,
  admitRequest,
  createAdmissionState,
  defaultAdmissionPolicies,
} from "../core/admission/admit.ts";
import type { Clock, Millis } from "../core/clock.ts";
import type { WorkItem } from "../core/engine/work_item.ts";
import type { EngineId, NodeId, Region } from "../core/ids.ts";
import type {
  DraftHistory,
  DraftTarget,
} from "../core/requests/draft_messages.ts";
import { RetryBudget } from "../core/requests/retry_budget.ts";
import type { ResultCodeName } from "../core/results/codes.ts";
import type { Refusal } from "../core/results/refusal.ts";
import { defaultRouteCosts } from "../core/routing/costs.ts";
import {
  type EngineHealthState,
  isSlow,
  mayProbe,
  recordEnd,
  recordFirstToken,
  recordStart,
} from "../core/routing/health.ts";
import {
  createHedgeBudget,
  decideHedge,
  depositHedgeCredit,
  type HedgeBudget,
  takeHedgeCredit,
} from "../core/routing/hedge.ts";
import type {
  ChooseEngine,
  RouteContext,
  RoutePolicies,
  RouteRequest,
} from "../core/routing/route.ts";
import {
  countSentSince,
  recordSent,
  type SentRequestLog,
} from "../core/routing/sent_requests.ts";
import type { EngineView } from "../core/routing/view.ts";
import type { AttemptObserver } from "./draft_request.ts";

/** Result codes which show that the owner named by a view does not serve the engine. */
const ownerLostCodes: ReadonlySet<ResultCodeName> = new Set([
  "notOwner",
  "draining",
  "notReady",
  "peerLost",
]);
/** Time for which such an owner is excluded from routing, in ms. */
const lostOwnerTtlMillis = 2_000;

/** Fields of a request that routing uses. */
export type RoutedWork = Pick<
  WorkItem,
  "requestId" | "adapter" | "customer" | "deadlineAt" | "expectedTokens"
>;

/** Options of the routing manager. */
export type RoutingManagerOptions = {
  readonly region: Region;
  readonly clock: Clock;
  readonly random: () => number;
  readonly views: () => readonly EngineView[];
  readonly chooseEngine: ChooseEngine;
};

/** Chooses engines for the requests of one node, from published views and the node's own observations. */
export class RoutingManager {
  readonly #options: RoutingManagerOptions;
  readonly #policies: RoutePolicies;
  readonly #sent: SentRequestLog = new Map();
  readonly #health: EngineHealthState = new Map();
  /** Owners that recently did not serve their engine, with the time of the last refusal. */
  readonly #lostOwners = new Map<
    EngineId,
    { owner: NodeId | undefined; at: Millis }
  >();
  readonly #retries = RetryBudget.create();
  #admission: AdmissionState = createAdmissionState();
  #hedges: HedgeBudget = createHedgeBudget();

  static create(options: RoutingManagerOptions): RoutingManager {
    return new RoutingManager(options);
  }

  private constructor(options: RoutingManagerOptions) {
    this.#options = options;
    const { clock } = options;
    this.#policies = {
      costs: defaultRouteCosts,
      sentSince: (engine, since) =>
        countSentSince(this.#sent, { engine, since }),
      isSlow: (engine) => isSlow(this.#health, { engine, now: clock.now() }),
      mayProbe: (engine) =>
        mayProbe(this.#health, { engine, now: clock.now() }),
    };
  }

  /** Credits a new request to the retry and hedge budgets. */
  deposit(expectedTokens: number): void {
    this.#retries.deposit();
    this.#hedges = depositHedgeCredit(this.#hedges, expectedTokens);
  }

  /** Takes one retry from the budget; returns false if none is left. */
  takeRetry(): boolean {
    return this.#retries.take();
  }

  /** Chooses an engine; the first attempt of a request is also subject to admission control. */
  choose(
    work: RoutedWork,
    history: DraftHistory,
  ): Either<Refusal, DraftTarget> {
    const { chooseEngine, clock } = this.#options;
    const { tried, resuming } = history;
    const request = this.#describe(work, tried);
    const choice = chooseEngine(request, this.#routeOptions());
    if (tried.length > 0 || resuming) return choice;
    return choice.chain((target) => {
      const { state, verdict } = admitRequest(this.#admission, {
        request,
        choice: target,
        now: clock.now(),
        policies: defaultAdmissionPolicies,
      });
      this.#admission = state;
      return verdict;
    });
  }

  /** Chooses a second engine for a request without a first token, if the hedge is worth the extra work. */
  hedge(
    work: RoutedWork,
    { history, waited }: { history: DraftHistory; waited: Millis },
  ): Maybe<DraftTarget> {
    const request = this.#describe(work, history.tried);
    const choice = this.#options.chooseEngine(request, this.#routeOptions());
    return choice.toMaybe().chain((target) => {
      const tokens = work.expectedTokens;
      const { budget, granted } = takeHedgeCredit(this.#hedges, tokens);
      const decision = decideHedge({
        waited,
        alternativeWait: target.expectedWait,
        queued: false,
        hasCredit: granted,
        needsLoad: target.needsLoad,
      });
      if (decision.kind === "wait") return Nothing;
      this.#hedges = budget;
      return Just(target);
    });
  }

  /** Creates the observer of the attempts of one request. */
  observe(work: RoutedWork): AttemptObserver {
    const { clock } = this.#options;
    const request = work.requestId;
    return {
      onSubmit: (engine, expected) => {
        const now = clock.now();
        recordSent(this.#sent, { engine, now, change: 1 });
        recordStart(this.#health, { engine, request, expected, now });
      },
      onFirstToken: (engine) =>
        recordFirstToken(this.#health, { engine, request, now: clock.now() }),
      onRefusal: (engine, { code }) => {
        if (!ownerLostCodes.has(code)) return;
        const owner = this.#findOwner(engine);
        this.#lostOwners.set(engine, { owner, at: clock.now() });
      },
      onClose: (engine) => {
        recordEnd(this.#health, { engine, request });
        recordSent(this.#sent, { engine, now: clock.now(), change: -1 });
      },
    };
  }

  #describe(work: RoutedWork, tried: readonly EngineId[]): RouteRequest {
    const { adapter, customer, deadlineAt, expectedTokens } = work;
    const { region } = this.#options;
    return {
      adapter,
      customer,
      deadlineAt,
      expectedTokens,
      region,
      tried: new Set(tried),
    };
  }

  #findOwner(engine: EngineId): NodeId | undefined {
    return this.#options.views().find((view) => view.engine === engine)?.owner;
  }

  /** Whether the current owner of an engine recently did not serve it. */
  #isOwnerLost(view: EngineView): boolean {
    const lost = this.#lostOwners.get(view.engine);
    if (lost === undefined || lost.owner !== view.owner) return false;
    return this.#options.clock.now() - lost.at < lostOwnerTtlMillis;
  }

  #routeOptions(): RouteContext {
    const { views, clock, random } = this.#options;
    return {
      views: views().filter((view) => !this.#isOwnerLost(view)),
      now: clock.now(),
      random,
      policies: this.#policies,
    };
  }
}
