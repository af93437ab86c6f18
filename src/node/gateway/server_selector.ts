import { type Millis, millis } from "../../core/clock.ts";
import {
  rankEngines,
  recordPromise,
} from "../../core/gateway/adapter_directory.ts";
import {
  chooseLeastCost,
  excludeServers,
} from "../../core/gateway/choose_server.ts";
import { isSuspended } from "../../core/gateway/server_health.ts";
import {
  type BackendServer,
  listUsableServers,
} from "../../core/gateway/servers.ts";
import {
  formatPlaceKey,
  type PlaceKey,
  type ServerId,
  type ServiceName,
} from "../../core/ids.ts";
import type { ModelDemand, PlaceAnswer } from "../../ports/gateway.ts";
import type { GatewayContext } from "./context.ts";

/** Asks the owner of an engine for an adapter. */
export type AcquireAdapter = (
  server: BackendServer,
  wanted: {
    readonly place: PlaceKey;
    readonly version: number;
    readonly wasDenied: boolean;
    readonly patience: number;
  },
) => Promise<PlaceAnswer>;

/** A server for a request and when it is able to take it. */
export type ServerSelection = {
  readonly server: BackendServer;
  readonly readyAt: Millis;
  /** Version of the adapter that has to answer. */
  readonly version: number | undefined;
};

/** Hears why the owner of an engine refused an adapter. */
export type RefusalListener = (
  engine: BackendServer,
  reason: Extract<PlaceAnswer, { kind: "refused" }>["reason"],
) => void;

/** Owners asked for an adapter before the request waits. */
const maxOwnersAsked = 3;
/** Time that a load may wait for its beginning, at first and then, in ms. */
const firstPatience = 40;
const lastPatience = 500;

type ServerSelectorOptions = {
  readonly acquire: AcquireAdapter;
  /** Expected wait at an engine behind other requests, in ms. */
  readonly estimateWait: (engine: ServerId) => Millis;
};

/** Finds servers for requests; asks the owners of engines for adapters. */
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

  /** A server that may take the request, or undefined if none can now. */
  async select(
    service: ServiceName,
    request: {
      readonly demand: ModelDemand | undefined;
      readonly tried: ReadonlySet<ServerId>;
      /** Engine that has just answered that it does not hold the adapter. */
      readonly deniedBy: ServerId | undefined;
      readonly onRefused: RefusalListener;
    },
  ): Promise<ServerSelection | undefined> {
    const usable = listUsableServers(this.#context.directory, service);
    const { demand, tried } = request;
    const fresh = excludeServers(usable, tried);
    if (demand === undefined) return this.#locatePlain(usable, fresh);
    const holding = fresh.filter(({ models }) =>
      models.some(({ name }) => name === demand.model),
    );
    const { adapter, model } = demand;
    if (adapter === undefined) return this.#locatePlain(holding, holding);
    const key = formatPlaceKey(model, adapter);
    return this.#locateAdapter(holding, key, request);
  }

  #locatePlain(
    usable: readonly BackendServer[],
    fresh: readonly BackendServer[],
  ): ServerSelection | undefined {
    const outlook = this.#context.selectionContext();
    const candidates = fresh.length > 0 ? fresh : usable;
    const server = chooseLeastCost(candidates, outlook);
    if (server === undefined) return undefined;
    return { server, readyAt: outlook.now, version: undefined };
  }

  async #locateAdapter(
    candidates: readonly BackendServer[],
    key: PlaceKey,
    {
      deniedBy,
      onRefused,
    }: {
      readonly deniedBy: ServerId | undefined;
      readonly onRefused: RefusalListener;
    },
  ): Promise<ServerSelection | undefined> {
    const context = this.#context;
    const version = context.versions.get(key) ?? 0;
    const expected = version > 0 ? version : undefined;
    const wanted = { key, version };
    const ranked = rankEngines(candidates, wanted, {
      ...context.selectionContext(),
      estimateWait: this.#options.estimateWait,
    });
    const [best] = ranked;
    if (best?.readyAt !== undefined) {
      return { server: best.server, readyAt: best.readyAt, version: expected };
    }
    const unheld = ranked.filter(({ readyAt }) => readyAt === undefined);
    const asked = unheld.slice(0, maxOwnersAsked);
    // At first an owner that can begin at once is looked for, then one that can begin at all.
    const rounds = [
      ...asked.map((choice) => ({ ...choice, patience: firstPatience })),
      ...asked.map((choice) => ({ ...choice, patience: lastPatience })),
    ];
    for (const { server, patience } of rounds) {
      const wasDenied = server.id === deniedBy;
      const request = { place: key, version, wasDenied, patience };
      const answer = await this.#options.acquire(server, request);
      if (answer.kind !== "ready") {
        onRefused(server, answer.reason);
        continue;
      }
      const now = context.now();
      if (isSuspended(context.health, server.id, now)) continue;
      const ready = millis(now + answer.inMs);
      recordPromise(context.adapterDirectory, server.id, {
        key,
        version,
        readyAt: ready,
        now,
      });
      return { server, readyAt: ready, version: expected };
    }
    const holder = ranked.find(({ readyAt }) => readyAt !== undefined);
    if (holder?.readyAt === undefined) return undefined;
    return {
      server: holder.server,
      readyAt: holder.readyAt,
      version: expected,
    };
  }
}
