import { type Millis, millis } from "../../../core/clock.ts";
import { recordPromise } from "../../../core/gateway/adapter_directory.ts";
import {
  chooseLeastCost,
  excludeServers,
} from "../../../core/gateway/choose_server.ts";
import type { EngineBacklog } from "../../../core/gateway/engine_backlog.ts";
import {
  chooseShortestWait,
  type RankedEngine,
  rankEngines,
} from "../../../core/gateway/engine_ranking.ts";
import { isSuspended } from "../../../core/gateway/server_health.ts";
import type { Resumption } from "../../../core/gateway/server_pauses.ts";
import {
  type BackendServer,
  listUsableServers,
} from "../../../core/gateway/servers.ts";
import {
  formatModelAdapterKey,
  type ModelAdapterKey,
  type ModelName,
  type ServerId,
  type ServiceName,
} from "../../../core/ids.ts";
import type { ModelDemand } from "../../../ports/gateway.ts";
import type { AcquireResult } from "../../../ports/nodes.ts";
import type { GatewayContext } from "../context.ts";
import type {
  ModelAvailability,
  ModelRequester,
} from "../engines/model_requester.ts";

/** Requests an adapter from the owner of an engine. */
export type AcquireAdapter = (
  server: BackendServer,
  wanted: {
    readonly place: ModelAdapterKey;
    readonly version: number;
    readonly wasDenied: boolean;
    readonly patience: number;
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

/** Expected wait at the best engine from which its model needs a further copy, in ms. */
const overloadWait = 1_000;
/** Maximum number of owners that one selection requests an adapter from. */
const maxOwnerRequests = 3;
/** Maximum number of times that one selection ranks the engines. */
const maxRankings = 3;
/** Maximum wait until a load may start, in the first round of owners and in the last, in ms. */
const shortStartTimeout = 40;
const longStartTimeout = 500;

/** Which servers a request can run on. */
export type Candidates = {
  readonly demand: ModelDemand | undefined;
  /** Whether a server may serve the request. */
  readonly isEligible: (server: BackendServer) => boolean;
};

type ServerSelectorOptions = {
  readonly acquire: AcquireAdapter;
  /** Expected delay of a request at an engine by other requests, in ms. */
  readonly estimateWait: (engine: ServerId, promptTokens: number) => Millis;
  /** Records the requests of the other nodes at an engine. */
  readonly recordBacklog: (engine: ServerId, backlog: EngineBacklog) => void;
  /** Whether the contents of an engine are known well enough to skip its owner. */
  readonly isKnown: (engine: ServerId) => boolean;
  readonly models: ModelRequester;
};

/** Selects servers for requests; requests adapters from the owners of engines. */
export class ServerSelector {
  readonly #context: GatewayContext;
  readonly #options: ServerSelectorOptions;

  private constructor(context: GatewayContext, options: ServerSelectorOptions) {
    this.#context = context;
    this.#options = options;
  }

  static create(
    context: GatewayContext,
    options: ServerSelectorOptions,
  ): ServerSelector {
    return new ServerSelector(context, options);
  }

  /** Selects a server for the request; undefined if none can take it now. */
  async select(
    service: ServiceName,
    request: Candidates & {
      readonly tried: ReadonlySet<ServerId>;
      /** Engine that answered the latest attempt that it does not hold the adapter. */
      readonly deniedBy: ServerId | undefined;
      readonly onRefused: RefusalListener;
      /** The first of the selections that are made until a server is found. */
      readonly isFirst: boolean;
      /** Called if no engine holds the model. */
      readonly onModelMissing: (availability: ModelAvailability) => void;
    },
  ): Promise<ServerSelection | undefined> {
    const { availability, directory } = this.#context;
    const registered = listUsableServers(directory, service).filter(
      request.isEligible,
    );
    const usable = registered.filter((server) =>
      availability.canTakeNext(server),
    );
    const { demand, tried } = request;
    const untried = excludeServers(usable, tried);
    if (demand === undefined) return this.#selectByCost(usable, untried);
    const withModel = untried.filter((server) =>
      holdsModel(server, demand.model),
    );
    const { adapter, model } = demand;
    const wanted = { model, requests: request.isFirst ? 1 : 0 };
    if (withModel.length === 0) {
      // A paused engine still holds the model, so no other one has to load it.
      if (!registered.some((server) => holdsModel(server, model)))
        request.onModelMissing(
          await this.#requestModel(service, wanted, usable),
        );
      return undefined;
    }
    const selection =
      adapter === undefined
        ? this.#selectByWait(withModel, demand)
        : await this.#selectForAdapter(
            withModel,
            {
              key: formatModelAdapterKey(model, adapter),
              promptTokens: demand.promptTokens,
            },
            request,
          );
    this.#requestMoreCopies(service, wanted, {
      selection,
      others: usable.filter((server) => !holdsModel(server, model)),
    });
    return selection;
  }

  /** Whether servers of the service are registered, but none that meets a condition. */
  hasOnlyServersBut(
    service: ServiceName,
    condition: (server: BackendServer) => boolean,
  ): boolean {
    const registered = listUsableServers(this.#context.directory, service);
    return registered.length > 0 && !registered.some(condition);
  }

  /** Whether a server of the service that meets a condition takes requests now. */
  hasFreeServer(
    service: ServiceName,
    condition: (server: BackendServer) => boolean,
  ): boolean {
    const { availability, directory } = this.#context;
    return listUsableServers(directory, service).some(
      (server) => condition(server) && availability.canTakeNext(server),
    );
  }

  /** When the first server takes the request, if all that could are paused now. */
  findResumption(
    service: ServiceName,
    { demand, isEligible }: Candidates,
  ): Resumption | undefined {
    const { availability, directory } = this.#context;
    const registered = listUsableServers(directory, service).filter(isEligible);
    const able =
      demand === undefined
        ? registered
        : registered.filter((server) => holdsModel(server, demand.model));
    return availability.findResumption(able);
  }

  /** Asks for a model that no engine holds; the service may not have it. */
  async #requestModel(
    service: ServiceName,
    wanted: WantedModel,
    candidates: readonly BackendServer[],
  ): Promise<ModelAvailability> {
    const engine = this.#context.configuration?.services.get(service)?.engine;
    const isOffered = engine?.models.some(({ name }) => name === wanted.model);
    if (isOffered !== true) return { kind: "declined" };
    return this.#options.models.request(service, wanted, candidates);
  }

  /** Asks for a further copy of a model whose engines are all overloaded. */
  #requestMoreCopies(
    service: ServiceName,
    wanted: WantedModel,
    found: {
      readonly selection: ServerSelection | undefined;
      readonly others: readonly BackendServer[];
    },
  ): void {
    const { selection, others } = found;
    if (others.length === 0 || selection === undefined) return;
    const { estimateWait, models } = this.#options;
    if (estimateWait(selection.server.id, 0) < overloadWait) return;
    void models.request(service, wanted, others);
  }

  #selectByCost(
    usable: readonly BackendServer[],
    untried: readonly BackendServer[],
  ): ServerSelection | undefined {
    const selectionContext = this.#context.selectionContext();
    const candidates = untried.length > 0 ? untried : usable;
    const server = chooseLeastCost(candidates, selectionContext);
    if (server === undefined) return undefined;
    return { server, readyAt: selectionContext.now, version: undefined };
  }

  /** Selects the engine with the shortest wait for a request without an adapter. */
  #selectByWait(
    candidates: readonly BackendServer[],
    { promptTokens }: ModelDemand,
  ): ServerSelection | undefined {
    const context = this.#context;
    const { estimateWait } = this.#options;
    const server = chooseShortestWait(candidates, {
      ...context.selectionContext(),
      estimateWait: (engine) => estimateWait(engine, promptTokens),
      offset: context.dependencies.random(),
    });
    if (server === undefined) return undefined;
    return { server, readyAt: context.now(), version: undefined };
  }

  async #selectForAdapter(
    candidates: readonly BackendServer[],
    { key, promptTokens }: Omit<WantedAdapter, "version">,
    {
      deniedBy,
      onRefused,
    }: {
      readonly deniedBy: ServerId | undefined;
      readonly onRefused: RefusalListener;
    },
  ): Promise<ServerSelection | undefined> {
    const version = this.#context.versions.get(key) ?? 0;
    const wanted = { key, version, promptTokens };
    let ranked = this.#rank(candidates, wanted);
    for (let round = 0; round < maxRankings; round++) {
      const [best] = ranked;
      if (best?.readyAt !== undefined) break;
      const promise = await this.#askOwners(ranked, wanted, {
        deniedBy,
        onRefused,
      });
      if (promise === undefined) break;
      if (promise.isNewLoad) return promise.selection;
      // The reply tells how many requests the engine has, so another may be better.
      ranked = this.#rank(candidates, wanted);
    }
    const holder = ranked.find(({ readyAt }) => readyAt !== undefined);
    if (holder?.readyAt === undefined) return undefined;
    return createSelection(holder.server, holder.readyAt, version);
  }

  #rank(
    candidates: readonly BackendServer[],
    wanted: WantedAdapter,
  ): RankedEngine[] {
    const { estimateWait, isKnown } = this.#options;
    return rankEngines(candidates, wanted, {
      ...this.#context.selectionContext(),
      estimateWait: (engine) => estimateWait(engine, wanted.promptTokens),
      isKnown,
    });
  }

  /** Asks the owners of engines in turn until one promises the adapter. */
  async #askOwners(
    ranked: readonly RankedEngine[],
    { key, version }: WantedAdapter,
    {
      deniedBy,
      onRefused,
    }: {
      readonly deniedBy: ServerId | undefined;
      readonly onRefused: RefusalListener;
    },
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
      const request = { place: key, version, wasDenied, patience };
      const answer = await this.#options.acquire(server, request);
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
      const { adapterDirectory } = context;
      const promise = { key, version, readyAt, now };
      recordPromise(adapterDirectory, server.id, promise);
      const selection = createSelection(server, readyAt, version);
      return { selection, isNewLoad: answer.inMs > 0 };
    }
    return undefined;
  }
}

function holdsModel(server: BackendServer, model: ModelName): boolean {
  return server.models.some(({ name }) => name === model);
}

/** An adapter that the owner of an engine promised. */
type PromisedAdapter = {
  readonly selection: ServerSelection;
  /** The engine loads the adapter now, so that the request should not go elsewhere. */
  readonly isNewLoad: boolean;
};

/** A model, and the number of requests to add to its demand. */
type WantedModel = { readonly model: ModelName; readonly requests: number };

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
