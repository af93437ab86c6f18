import type { Millis } from "../../../core/clock.ts";
import { excludeServers } from "../../../core/gateway/choose_server.ts";
import { chooseShortestWait } from "../../../core/gateway/engine_ranking.ts";
import { chooseShortestRun } from "../../../core/gateway/plain_server_choice.ts";
import type { Resumption } from "../../../core/gateway/server_pauses.ts";
import {
  type BackendServer,
  isUsable,
  listUsableServers,
} from "../../../core/gateway/servers.ts";
import {
  formatModelAdapterKey,
  type ModelName,
  type ServerId,
  type ServiceName,
} from "../../../core/ids.ts";
import type { ModelDemand } from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import type {
  ModelAvailability,
  ModelRequester,
} from "../engines/model_requester.ts";
import {
  type AdapterRequest,
  AdapterSelector,
  type AdapterSelectorOptions,
  type ServerSelection,
} from "./adapter_selector.ts";

/** Expected wait at the best engine from which its model needs a further copy, in ms. */
const overloadWait = 1_000;

/** Takes the place of a random number in a preview: the median, which favours no server. */
const previewDraw = 0.5;

/** The server that a selection would begin with. */
export type SelectionPreview = {
  readonly server: BackendServer;
  /** The owner of the engine would be asked for the adapter. */
  readonly asksOwner: boolean;
};

/** Which servers a request can run on. */
export type Candidates = {
  readonly demand: ModelDemand | undefined;
  /** Whether a server may serve the request. */
  readonly isEligible: (server: BackendServer) => boolean;
};

type ServerSelectorOptions = AdapterSelectorOptions & {
  readonly models: ModelRequester;
};

/** Selects servers for requests; requests adapters from the owners of engines. */
export class ServerSelector {
  readonly #context: GatewayContext;
  readonly #options: ServerSelectorOptions;
  readonly #adapters: AdapterSelector;

  private constructor(context: GatewayContext, options: ServerSelectorOptions) {
    this.#context = context;
    this.#options = options;
    this.#adapters = AdapterSelector.create(context, options);
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
    request: Candidates &
      AdapterRequest & {
        readonly tried: ReadonlySet<ServerId>;
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
    const { random } = this.#context.dependencies;
    if (demand === undefined) return this.#selectByRun(usable, untried, random);
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
        ? this.#selectByWait(withModel, demand, random())
        : await this.#adapters.select(
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

  /** The server that `select` would begin with; asks no owner, draws no random number and changes nothing. */
  preview(
    service: ServiceName,
    { demand, isEligible }: Candidates,
  ): SelectionPreview | undefined {
    const { availability, directory } = this.#context;
    const usable = listUsableServers(directory, service).filter(
      (server) =>
        isEligible(server) && availability.findObstacle(server) === undefined,
    );
    if (demand === undefined) {
      const selection = this.#selectByRun(usable, usable, () => previewDraw);
      return selection && { server: selection.server, asksOwner: false };
    }
    const { model, adapter, promptTokens } = demand;
    const withModel = usable.filter((server) => holdsModel(server, model));
    if (adapter === undefined) {
      const selection = this.#selectByWait(withModel, demand, 0);
      return selection && { server: selection.server, asksOwner: false };
    }
    const key = formatModelAdapterKey(model, adapter);
    const [best] = this.#adapters.rank(withModel, { key, promptTokens });
    if (best === undefined) return undefined;
    return { server: best.server, asksOwner: best.readyAt === undefined };
  }

  /** Whether an engine of the service holds a model or may load it. */
  findModelState(
    service: ServiceName,
    demand: ModelDemand | undefined,
  ): "held" | "loadable" | "not-offered" {
    if (demand === undefined) return "held";
    const { model } = demand;
    const registered = listUsableServers(this.#context.directory, service);
    if (registered.some((server) => holdsModel(server, model))) return "held";
    return this.#isOffered(service, model) ? "loadable" : "not-offered";
  }

  /** Whether servers of the service are registered, but none that meets a condition. */
  hasOnlyServersBut(
    service: ServiceName,
    condition: (server: BackendServer) => boolean,
  ): boolean {
    let hasServer = false;
    for (const server of this.#context.directory.servers.values()) {
      if (!isUsable(server, service)) continue;
      if (condition(server)) return false;
      hasServer = true;
    }
    return hasServer;
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

  /** Expected waits at the engines that may serve the request, the selected one first; none for a service without models. */
  *listWaits(
    service: ServiceName,
    { demand, isEligible }: Candidates,
    selected: BackendServer,
  ): Generator<Millis> {
    if (demand === undefined) return;
    const { estimateWait } = this.#options;
    yield estimateWait(selected.id, demand.promptTokens);
    const { directory } = this.#context;
    for (const server of listUsableServers(directory, service)) {
      if (isEligible(server) && holdsModel(server, demand.model))
        yield estimateWait(server.id, demand.promptTokens);
    }
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
    if (!this.#isOffered(service, wanted.model)) return { kind: "declined" };
    return this.#options.models.request(service, wanted, candidates);
  }

  #isOffered(service: ServiceName, model: ModelName): boolean {
    const engine = this.#context.configuration?.services.get(service)?.engine;
    return engine?.models.some(({ name }) => name === model) ?? false;
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

  /** Selects the server with the shortest expected run for a request without a model. */
  #selectByRun(
    usable: readonly BackendServer[],
    untried: readonly BackendServer[],
    random: () => number,
  ): ServerSelection | undefined {
    const { paces, overloads } = this.#context;
    const context = this.#context.selectionContext();
    const candidates = untried.length > 0 ? untried : usable;
    const server = chooseShortestRun(candidates, {
      ...context,
      paces,
      overloads,
      random,
    });
    if (server === undefined) return undefined;
    return { server, readyAt: context.now, version: undefined };
  }

  /** Selects the engine with the shortest wait for a request without an adapter. */
  #selectByWait(
    candidates: readonly BackendServer[],
    { promptTokens }: ModelDemand,
    offset: number,
  ): ServerSelection | undefined {
    const context = this.#context;
    const { estimateAnswer } = this.#options;
    const server = chooseShortestWait(candidates, {
      ...context.selectionContext(),
      estimateWait: (engine) => estimateAnswer(engine, promptTokens),
      offset,
    });
    if (server === undefined) return undefined;
    return { server, readyAt: context.now(), version: undefined };
  }
}

/** Whether an engine holds a model. */
export function holdsModel(server: BackendServer, model: ModelName): boolean {
  return server.models.some(({ name }) => name === model);
}

/** A model, and the number of requests to add to its demand. */
type WantedModel = { readonly model: ModelName; readonly requests: number };
