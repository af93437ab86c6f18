import { type Either, Left, Right } from "purify-ts";
import { type Millis, millis } from "../clock.ts";
import type { AdapterKey, Customer, EngineId, Region } from "../ids.ts";
import { selectHomes } from "../placement/rendezvous.ts";
import { type Refusal, refuse } from "../results/refusal.ts";
import type { RouteCosts } from "./costs.ts";
import { estimateWait, isUsable, type WaitOptions } from "./estimate.ts";
import { blockedLoadWait, type EngineView } from "./view.ts";

/** What routing needs to know of a request. */
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

/** Behaviour of routing that settings and the bench vary. */
export type RoutePolicies = {
  readonly costs: RouteCosts;
  /** Requests that this node sent to an engine minus those that ended there, since a time. */
  readonly sentSince?: (engine: EngineId, since: Millis) => number;
  /** Engines that this node itself finds slow, whatever their view says. */
  readonly isSlow?: (engine: EngineId) => boolean;
  /** Whether a slow engine may get a request now, so that recovery is noticed. */
  readonly mayProbe?: (engine: EngineId) => boolean;
  /** Engines that the sheet names for an adapter; for `chooseFromSheet`. */
  readonly sheetHomes?: (adapter: AdapterKey) => readonly EngineId[];
};

/** State of the surroundings at the time of a choice. */
export type RouteContext = {
  readonly views: readonly EngineView[];
  readonly now: Millis;
  readonly random: () => number;
  readonly policies: RoutePolicies;
};

/** An engine and the wait for the first token that is expected there. */
export type RouteChoice = {
  readonly engine: EngineId;
  readonly expectedWait: Millis;
  /** The engine would have to start a load for the request. */
  readonly needsLoad?: boolean;
};

/** Chooses an engine for a request, or says why none can take it. */
export type ChooseEngine = (
  request: RouteRequest,
  options: RouteContext,
) => Either<Refusal, RouteChoice>;

/** Time after which a caller without an engine should try again, in ms. */
const noEngineRetryMs = 1000;

type Candidate = {
  readonly view: EngineView;
  readonly wait: number;
  /** Wait plus what the choice costs others, in ms. */
  readonly cost: number;
};

/**
 * Routing policy: power of two choices among the engines that hold the
 * adapter, weighed against a load at a home engine and a remote region.
 */
export const chooseEngine: ChooseEngine = (request, options) => {
  const usable = listUsable(request, options.views);
  if (usable.length === 0) return Left(refuseWithoutEngine());
  const healthy = usable.filter((view) => !isSlowView(view, options.policies));
  const probe = chooseProbe(request, { usable, options });
  if (probe !== undefined) return Right(toChoice(probe, request));
  const candidates = listCandidates(request, {
    usable: healthy.length > 0 ? healthy : usable,
    options,
  });
  if (candidates.length === 0) return Left(refuseWithoutEngine());
  const inTime = candidates.filter(
    (candidate) => options.now + candidate.wait <= request.deadlineAt,
  );
  return Right(
    toChoice(selectCheapest(inTime.length > 0 ? inTime : candidates), request),
  );
};

/** Baseline a: the engine with the fewest requests, without looking at adapters. */
export const chooseLeastLoaded: ChooseEngine = (request, options) => {
  const usable = listUsable(request, options.views);
  if (usable.length === 0) return Left(refuseWithoutEngine());
  const waits = toWaitOptions(options);
  const candidates = usable.map((view) => {
    const load = view.queued + view.running + countSent(view, options);
    const distance = view.region === request.region ? 0 : 1;
    return {
      view,
      wait: estimateWait(view, { ...waits, adapter: request.adapter }),
      cost: load / view.batch + distance,
    };
  });
  return Right(
    toChoice(selectCheapest(shuffle(candidates, options.random)), request),
  );
};

/** Baseline b: the engine that the sheet names, else the rendezvous home. */
export const chooseFromSheet: ChooseEngine = (request, options) => {
  const usable = listUsable(request, options.views);
  if (usable.length === 0) return Left(refuseWithoutEngine());
  const local = usable.filter((view) => view.region === request.region);
  const named = options.policies.sheetHomes?.(request.adapter) ?? [];
  const placed = usable.filter((view) => named.includes(view.engine));
  const candidates = placed.length > 0 ? placed : local;
  const pool = candidates.length > 0 ? candidates : usable;
  const [home] = selectHomes(request.adapter, {
    engines: pool.map((view) => ({ engine: view.engine, weight: 1 })),
    count: 1,
  });
  const view = pool.find((entry) => entry.engine === home) as EngineView;
  const waits = toWaitOptions(options);
  const wait = estimateWait(view, { ...waits, adapter: request.adapter });
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

function refuseWithoutEngine(): Refusal {
  return refuse("noEngine", "No engine with an owner is left to try", {
    retryAfter: millis(noEngineRetryMs),
  });
}

function isSlowView(view: EngineView, policies: RoutePolicies): boolean {
  return view.state === "slow" || policies.isSlow?.(view.engine) === true;
}

function countSent(view: EngineView, options: RouteContext): number {
  return options.policies.sentSince?.(view.engine, view.heardAt) ?? 0;
}

function toWaitOptions(options: RouteContext): Omit<WaitOptions, "adapter"> {
  return {
    costs: options.policies.costs,
    sent: (view) => countSent(view, options),
  };
}

/** An idle slow engine that holds the adapter and is due for a probe; a busy one shows its speed without. */
function chooseProbe(
  request: RouteRequest,
  { usable, options }: { usable: EngineView[]; options: RouteContext },
): Candidate | undefined {
  const { policies } = options;
  const due = usable.find(
    (view) =>
      view.held.has(request.adapter) &&
      view.region === request.region &&
      isSlowView(view, policies) &&
      view.running + view.queued === 0 &&
      policies.mayProbe?.(view.engine) === true,
  );
  return due && weigh(due, { request, options, extra: 0 });
}

/** Candidates of each kind: two warm engines, cold homes, and remote engines. */
function listCandidates(
  request: RouteRequest,
  { usable, options }: { usable: EngineView[]; options: RouteContext },
): Candidate[] {
  const local = usable.filter((view) => view.region === request.region);
  const remote = usable.filter((view) => view.region !== request.region);
  const warm = local.filter((view) => holds(view, request.adapter));
  const warmRemote = remote.filter((view) => holds(view, request.adapter));
  const chosen = [
    ...sampleTwo(warm, options.random),
    ...sampleTwo(warmRemote, options.random),
  ].map((view) => weigh(view, { request, options, extra: 0 }));
  const isCold = (view: EngineView) =>
    !holds(view, request.adapter) && canLoad(view);
  const coldHere = local.filter(isCold);
  const cold = coldHere.length > 0 ? coldHere : remote.filter(isCold);
  return [...chosen, ...weighCold(cold, { request, options })];
}

function canLoad(view: EngineView): boolean {
  return (view.loadWait ?? 0) < blockedLoadWait;
}

function holds(view: EngineView, adapter: AdapterKey): boolean {
  return view.held.has(adapter) || view.loading.has(adapter);
}

/** Weighs engines that would have to load; homes cost less than others, so that copies do not multiply. */
function weighCold(
  cold: EngineView[],
  { request, options }: { request: RouteRequest; options: RouteContext },
): Candidate[] {
  const { costs } = options.policies;
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
    return weigh(view, { request, options, extra: costs.load + rank });
  });
}

function weigh(
  view: EngineView,
  {
    request,
    options,
    extra,
  }: { request: RouteRequest; options: RouteContext; extra: number },
): Candidate {
  const { costs } = options.policies;
  const waits = toWaitOptions(options);
  const local = estimateWait(view, { ...waits, adapter: request.adapter });
  if (view.region === request.region)
    return { view, wait: local, cost: local + extra };
  const wait = local + costs.remoteDelay;
  const bytes = request.expectedTokens * costs.bytesPerToken;
  return { view, wait, cost: wait + extra + bytes * costs.msPerRemoteByte };
}

/** Two different entries at random, or all when there are at most two. */
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
