import { type Millis, millis } from "../../../core/clock.ts";
import {
  hasCachedCopy,
  recordPromise,
} from "../../../core/gateway/adapter_directory.ts";
import type { EngineBacklog } from "../../../core/gateway/engine_backlog.ts";
import {
  type RankedEngine,
  rankEngines,
} from "../../../core/gateway/engine_ranking.ts";
import { recordLoad } from "../../../core/gateway/load_times.ts";
import type { LoadUrgency } from "../../../core/gateway/load_urgency.ts";
import { isSuspended } from "../../../core/gateway/server_health.ts";
import { readSharedSlowness } from "../../../core/gateway/server_pace.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { ModelAdapterKey, ServerId } from "../../../core/ids.ts";
import type { AcquireResult } from "../../../ports/nodes.ts";
import type { GatewayContext } from "../context.ts";

/** Requests an adapter from the owner of an engine. */
export type AcquireAdapter = (
  server: BackendServer,
  wanted: {
    readonly place: ModelAdapterKey;
    readonly version: number;
    readonly wasDenied: boolean;
    readonly patience: number;
    readonly urgency: LoadUrgency;
  },
) => Promise<AcquireResult>;

/** Selected server, and the time from which it can take the request. */
export type ServerSelection = {
  readonly server: BackendServer;
  readonly readyAt: Millis;
  /** Version of the adapter that must serve the request. */
  readonly version: number | undefined;
};

/** Called with the reason when the owner of an engine refuses an adapter. */
export type RefusalListener = (
  engine: BackendServer,
  reason: Extract<AcquireResult, { kind: "refused" }>["reason"],
) => void;

/** Maximum number of owners that one selection requests an adapter from. */
const maxOwnerRequests = 3;
/** Maximum number of times that one selection ranks the engines. */
const maxRankings = 3;
/** Maximum wait until a load may start, in the first round of owners and in the last, in ms. */
const shortStartTimeout = 40;
const longStartTimeout = 500;

/** What the selection of an engine for an adapter depends on. */
export type AdapterSelectorOptions = {
  readonly acquire: AcquireAdapter;
  /** Expected delay of a request at an engine by other requests, in ms. */
  readonly estimateWait: (engine: ServerId, promptTokens: number) => Millis;
  /** Expected time at an engine until the answer begins, without a load, in ms. */
  readonly estimateAnswer: (engine: ServerId, promptTokens: number) => Millis;
  /** Records the requests of the other nodes at an engine. */
  readonly recordBacklog: (engine: ServerId, backlog: EngineBacklog) => void;
  /** Whether the contents of an engine are known well enough to skip its owner. */
  readonly isKnown: (engine: ServerId) => boolean;
};

/** What a selection needs to know of the request that it is made for. */
export type AdapterRequest = {
  /** Engine that answered the latest attempt that it does not hold the adapter. */
  readonly deniedBy: ServerId | undefined;
  readonly onRefused: RefusalListener;
  /** Urgency of a load that is requested now. */
  readonly rankLoad: () => LoadUrgency;
};

/** Selects the engine for an adapter by the expected time to its answer; requests the adapter from the owners of engines. */
export class AdapterSelector {
  readonly #context: GatewayContext;
  readonly #options: AdapterSelectorOptions;

  private constructor(
    context: GatewayContext,
    options: AdapterSelectorOptions,
  ) {
    this.#context = context;
    this.#options = options;
  }

  static create(
    context: GatewayContext,
    options: AdapterSelectorOptions,
  ): AdapterSelector {
    return new AdapterSelector(context, options);
  }

  /** Selects one of the engines that hold the model; undefined if none has the adapter in time. */
  async select(
    candidates: readonly BackendServer[],
    { key, promptTokens }: Omit<WantedAdapter, "version">,
    request: AdapterRequest,
  ): Promise<ServerSelection | undefined> {
    const version = this.#context.versions.get(key) ?? 0;
    const wanted = { key, version, promptTokens };
    let ranked = this.#rank(candidates, wanted);
    for (let round = 0; round < maxRankings; round++) {
      const [best] = ranked;
      if (best?.readyAt !== undefined) break;
      const promise = await this.#askOwners(ranked, wanted, request);
      if (promise === undefined) break;
      if (promise.isNewLoad) return promise.selection;
      // The reply tells how many requests the engine has, so another may be better.
      ranked = this.#rank(candidates, wanted);
    }
    const holder = ranked.find(({ readyAt }) => readyAt !== undefined);
    if (holder?.readyAt === undefined) return undefined;
    return createSelection(holder.server, holder.readyAt, version);
  }

  /** Ranks the engines as the selection does before it asks any owner; the first one is the best. */
  rank(
    candidates: readonly BackendServer[],
    { key, promptTokens }: Omit<WantedAdapter, "version">,
  ): RankedEngine[] {
    const version = this.#context.versions.get(key) ?? 0;
    return this.#rank(candidates, { key, version, promptTokens });
  }

  #rank(
    candidates: readonly BackendServer[],
    wanted: WantedAdapter,
  ): RankedEngine[] {
    const { estimateAnswer, isKnown } = this.#options;
    const { paces, directory, loadTimes } = this.#context;
    const now = this.#context.now();
    const findWeight = (engine: ServerId) => {
      const server = directory.servers.get(engine);
      return server === undefined
        ? 1
        : 1 / readSharedSlowness(paces, server, now);
    };
    return rankEngines(candidates, wanted, {
      ...this.#context.selectionContext(),
      findWeight,
      loadTimes,
      estimateWait: (engine) => estimateAnswer(engine, wanted.promptTokens),
      isKnown,
    });
  }

  /** Asks the owners of engines in turn until one promises the adapter. */
  async #askOwners(
    ranked: readonly RankedEngine[],
    { key, version }: WantedAdapter,
    { deniedBy, onRefused, rankLoad }: AdapterRequest,
  ): Promise<PromisedAdapter | undefined> {
    const context = this.#context;
    const { availability } = context;
    const isLimited = ({ server }: RankedEngine) =>
      Number(availability.isLimited(server));
    // A load takes two orders and a request of what a limited engine grants.
    const owners = ranked
      .filter(({ readyAt }) => readyAt === undefined)
      .sort((a, b) => isLimited(a) - isLimited(b))
      .slice(0, maxOwnerRequests);
    // The first round finds an owner that can start the load at once, the second
    // one that can start it later.
    const rounds = [
      ...owners.map((choice) => ({ ...choice, patience: shortStartTimeout })),
      ...owners.map((choice) => ({ ...choice, patience: longStartTimeout })),
    ];
    for (const { server, mayHold, patience } of rounds) {
      const wasDenied = server.id === deniedBy;
      const askedAt = context.now();
      const answer = await this.#options.acquire(server, {
        place: key,
        version,
        wasDenied,
        patience,
        urgency: rankLoad(),
      });
      const now = context.now();
      if (answer.kind !== "ready") {
        onRefused(server, answer.reason);
        // Without its owner, what was last heard of the engine must do.
        if (!mayHold || !isOwnerMissing(answer.reason)) continue;
        const selection = createSelection(server, now, version);
        return { selection, isNewLoad: true };
      }
      if (isSuspended(context.health, server.id, now)) continue;
      if (!context.availability.canTakeNext(server)) continue;
      this.#options.recordBacklog(server.id, answer.backlog);
      const readyAt = millis(now + answer.inMs);
      const { adapterDirectory, loadTimes } = context;
      if (answer.inMs > 0 && !mayHold) {
        const requested = { key, version };
        const isCached = hasCachedCopy(adapterDirectory, server.id, requested);
        const source = isCached ? "host-memory" : "store";
        // A load that is nearly done was begun for an earlier request.
        if (answer.inMs > loadTimes[source] / 2)
          recordLoad(loadTimes, source, readyAt - askedAt);
      }
      const promise = { key, version, readyAt, now };
      recordPromise(adapterDirectory, server.id, promise);
      const selection = createSelection(server, readyAt, version);
      return { selection, isNewLoad: answer.inMs > 0 };
    }
    return undefined;
  }
}

/** An adapter that the owner of an engine promised. */
type PromisedAdapter = {
  readonly selection: ServerSelection;
  /** The engine loads the adapter now, so that the request should not go elsewhere. */
  readonly isNewLoad: boolean;
};

type WantedAdapter = {
  readonly key: ModelAdapterKey;
  readonly version: number;
  readonly promptTokens: number;
};

function createSelection(
  server: BackendServer,
  readyAt: Millis,
  version: number,
): ServerSelection {
  return { server, readyAt, version: version > 0 ? version : undefined };
}

function isOwnerMissing(reason: Parameters<RefusalListener>[1]): boolean {
  return reason === "not-owner" || reason === "unreachable";
}
