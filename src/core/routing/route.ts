import { type Either, Left, Right } from "purify-ts";
import { type Millis, millis } from "../clock.ts";
import type { AdapterKey, Customer, EngineId, Region } from "../ids.ts";
import { selectHomes } from "../placement/rendezvous.ts";
import { type Refusal, refuse } from "../results/refusal.ts";
import type { RouteCosts } from "./costs.ts";
import { estimateWait, isUsable, type WaitOptions } from "./estimate.ts";
import { blockedLoadWait, type EngineView } from "./view.ts";

/** Request as seen by routing. */
export type RouteRequest = {
  readonly adapter: AdapterKey;
  readonly customer: Customer;
  /** Latest time of the first token, on the clock of this node. */
  readonly deadlineAt: Millis;
  readonly expectedTokens: number;
  /** Region of the entry node. */
  readonly region: Region;
  /** Engines that this request was already sent to. */
  readonly tried: ReadonlySet<EngineId>;
};

/** Routing behaviour that settings and benchmarks vary. */
export type RoutePolicies = {
  readonly costs: RouteCosts;
  /** Requests that this node sent to an engine minus those that ended there, since a time. */
  readonly sentSince?: (engine: EngineId, since: Millis) => number;
  /** Whether this node observes an engine as slow, regardless of its view. */
  readonly isSlow?: (engine: EngineId) => boolean;
  /** Whether a slow engine may get a request now, to detect its recovery. */
  readonly mayProbe?: (engine: EngineId) => boolean;
  /** Engines that the sheet names for an adapter; for `chooseFromSheet`. */
  readonly sheetHomes?: (adapter: AdapterKey) => readonly EngineId[];
};

/** Engine views, time and policies of a routing decision. */
export type RouteContext = {
  readonly views: readonly EngineView[];
  readonly now: Millis;
  readonly random: () => number;
  readonly policies: RoutePolicies;
};

/** The chosen engine and its expected wait for the first token. */
export type RouteChoice = {
  readonly engine: EngineId;
  readonly expectedWait: Millis;
  /** The engine has to load the adapter for the request. */
  readonly needsLoad?: boolean;
};

/** Chooses an engine for a request, or returns why none can take it. */
export type ChooseEngine = (
  request: RouteRequest,
  context: RouteContext,
) => Either<Refusal, RouteChoice>;

/** Delay after which a caller should retry when no engine is available, in ms. */
const noEngineRetryDelay = 1000;

type Candidate = {
  readonly view: EngineView;
  readonly wait: number;
  /** Wait plus the cost to other requests, in ms. */
  readonly cost: number;
};

/**
 * Routing policy: power of two choices among the engines that hold the
 * adapter, compared with a load at a home engine and a remote region.
 */
export const chooseEngine: ChooseEngine = (request, context) => {
  const usable = listUsable(request, context.views);
  if (usable.length === 0) return Left(refuseForNoEngine());
  const healthy = usable.filter((view) => !isSlowView(view, context.policies));
  const probe = chooseProbe(request, { usable, context });
  if (probe !== undefined) return Right(toChoice(probe, request));
  const candidates = createCandidates(request, {
    usable: healthy.length > 0 ? healthy : usable,
    context,
  });
  if (candidates.length === 0) return Left(refuseForNoEngine());
  const inTime = candidates.filter(
    (candidate) => context.now + candidate.wait <= request.deadlineAt,
  );
  return Right(
    toChoice(selectCheapest(inTime.length > 0 ? inTime : candidates), request),
  );
};

/** Baseline A: the engine with the fewest requests, regardless of adapters. */
export const chooseLeastLoaded: ChooseEngine = (request, context) => {
  const usable = listUsable(request, context.views);
  if (usable.length === 0) return Left(refuseForNoEngine());
  const waitOptions = toWaitOptions(context);
  const candidates = usable.map((view) => {
    const load = view.queued + view.running + countSent(view, context);
    const distance = view.region === request.region ? 0 : 1;
    return {
      view,
      wait: estimateWait(view, { ...waitOptions, adapter: request.adapter }),
      cost: load / view.batch + distance,
    };
  });
  return Right(
    toChoice(selectCheapest(shuffle(candidates, context.random)), request),
  );
};

/** Baseline B: the engine that the sheet names, otherwise the rendezvous home. */
export const chooseFromSheet: ChooseEngine = (request, context) => {
  const usable = listUsable(request, context.views);
  if (usable.length === 0) return Left(refuseForNoEngine());
  const local = usable.filter((view) => view.region === request.region);
  const named = context.policies.sheetHomes?.(request.adapter) ?? [];
  const placed = usable.filter((view) => named.includes(view.engine));
  const candidates = placed.length > 0 ? placed : local;
  const pool = candidates.length > 0 ? candidates : usable;
  const [home] = selectHomes(request.adapter, {
    engines: pool.map((view) => ({ engine: view.engine, weight: 1 })),
    count: 1,
  });
  const view = pool.find((entry) => entry.engine === home) as EngineView;
  const waitOptions = toWaitOptions(context);
  const wait = estimateWait(view, { ...waitOptions, adapter: request.adapter });
  return Right(toChoice({ view, wait, cost: wait }, request));
};

function listUsable(
  request: RouteRequest,
  views: readonly EngineView[],
): EngineView[] {
  return views.filter(
    (view) => isUsable(view) && !request.tried.has(view.engine),
  );
}

function refuseForNoEngine(): Refusal {
  return refuse("noEngine", "No untried engine with an owner is left", {
    retryAfter: millis(noEngineRetryDelay),
  });
}

function isSlowView(view: EngineView, policies: RoutePolicies): boolean {
  return view.state === "slow" || policies.isSlow?.(view.engine) === true;
}

function countSent(view: EngineView, context: RouteContext): number {
  return context.policies.sentSince?.(view.engine, view.heardAt) ?? 0;
}

function toWaitOptions(context: RouteContext): Omit<WaitOptions, "adapter"> {
  return {
    costs: context.policies.costs,
    sent: (view) => countSent(view, context),
  };
}

/** Chooses an idle slow engine that holds the adapter and is due for a probe; a busy one shows its speed anyway. */
function chooseProbe(
  request: RouteRequest,
  { usable, context }: { usable: EngineView[]; context: RouteContext },
): Candidate | undefined {
  const { policies } = context;
  const due = usable.find(
    (view) =>
      view.held.has(request.adapter) &&
      view.region === request.region &&
      isSlowView(view, policies) &&
      view.running + view.queued === 0 &&
      policies.mayProbe?.(view.engine) === true,
  );
  return due && createCandidate(due, { request, context, extra: 0 });
}

/** Creates the candidates: up to two engines with the adapter per local and remote group, and engines without it. */
function createCandidates(
  request: RouteRequest,
  { usable, context }: { usable: EngineView[]; context: RouteContext },
): Candidate[] {
  const local = usable.filter((view) => view.region === request.region);
  const remote = usable.filter((view) => view.region !== request.region);
  const warm = local.filter((view) => holds(view, request.adapter));
  const warmRemote = remote.filter((view) => holds(view, request.adapter));
  const chosen = [
    ...sampleTwo(warm, context.random),
    ...sampleTwo(warmRemote, context.random),
  ].map((view) => createCandidate(view, { request, context, extra: 0 }));
  const isCold = (view: EngineView) =>
    !holds(view, request.adapter) && canLoad(view);
  const localCold = local.filter(isCold);
  const cold = localCold.length > 0 ? localCold : remote.filter(isCold);
  return [...chosen, ...createColdCandidates(cold, { request, context })];
}

function canLoad(view: EngineView): boolean {
  return (view.loadWait ?? 0) < blockedLoadWait;
}

function holds(view: EngineView, adapter: AdapterKey): boolean {
  return view.held.has(adapter) || view.loading.has(adapter);
}

/** Creates candidates that have to load the adapter; homes cost less than others, which limits the number of copies. */
function createColdCandidates(
  cold: EngineView[],
  { request, context }: { request: RouteRequest; context: RouteContext },
): Candidate[] {
  const { costs } = context.policies;
  const [first, second] = selectHomes(request.adapter, {
    engines: cold.map((view) => ({ engine: view.engine, weight: view.slots })),
    count: 2,
  });
  return cold.map((view) => {
    const rank =
      view.engine === first
        ? 0
        : view.engine === second
          ? costs.secondHome
          : costs.nonHome;
    return createCandidate(view, {
      request,
      context,
      extra: costs.load + rank,
    });
  });
}

function createCandidate(
  view: EngineView,
  {
    request,
    context,
    extra,
  }: { request: RouteRequest; context: RouteContext; extra: number },
): Candidate {
  const { costs } = context.policies;
  const waitOptions = toWaitOptions(context);
  const local = estimateWait(view, {
    ...waitOptions,
    adapter: request.adapter,
  });
  if (view.region === request.region)
    return { view, wait: local, cost: local + extra };
  const wait = local + costs.remoteDelay;
  const bytes = request.expectedTokens * costs.bytesPerToken;
  return { view, wait, cost: wait + extra + bytes * costs.msPerRemoteByte };
}

/** Selects two different entries at random, or all if there are at most two. */
function sampleTwo<Entry>(
  entries: readonly Entry[],
  random: () => number,
): Entry[] {
  if (entries.length <= 2) return [...entries];
  const first = Math.floor(random() * entries.length);
  const step = 1 + Math.floor(random() * (entries.length - 1));
  const second = (first + step) % entries.length;
  return [entries[first] as Entry, entries[second] as Entry];
}

function shuffle<Entry>(
  entries: readonly Entry[],
  random: () => number,
): Entry[] {
  const start = Math.floor(random() * entries.length);
  return [...entries.slice(start), ...entries.slice(0, start)];
}

function selectCheapest(candidates: readonly Candidate[]): Candidate {
  return candidates.reduce((best, candidate) =>
    candidate.cost < best.cost ? candidate : best,
  );
}

function toChoice(candidate: Candidate, request: RouteRequest): RouteChoice {
  return {
    engine: candidate.view.engine,
    expectedWait: millis(candidate.wait),
    needsLoad: !holds(candidate.view, request.adapter),
  };
}
