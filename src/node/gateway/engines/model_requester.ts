import { type Millis, millis } from "../../../core/clock.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { ModelName, ServerId, ServiceName } from "../../../core/ids.ts";
import { rankByRendezvous } from "../../../core/lease/rendezvous.ts";
import type { ModelResult } from "../../../ports/nodes.ts";
import type { GatewayContext } from "../context.ts";

/** Asks the owner of an engine for a base model. */
export type RequestModel = (
  server: BackendServer,
  wanted: { readonly model: ModelName; readonly requests: number },
) => Promise<ModelResult>;

/** What the owners of engines replied to requests for a model. */
export type ModelAvailability =
  | { readonly kind: "coming"; readonly readyAt: Millis }
  /** The engines keep what they hold. */
  | { readonly kind: "declined" }
  /** No owner replied. */
  | { readonly kind: "unknown" };

/** Minimum interval of the calls for one model, in ms; the requests in between are counted. */
const callInterval = 250;
/** Maximum number of owners that are asked in one interval. */
const maxOwners = 3;

type WantedModel = {
  /** Requests since the last call. */
  requests: number;
  askedAt: Millis;
  availability: ModelAvailability;
  /** Engine that promised the model. */
  engine: ServerId | undefined;
  call: Promise<void> | undefined;
};

/** Asks the owners of engines for base models that no engine can serve in time. */
export class ModelRequester {
  readonly #context: GatewayContext;
  readonly #request: RequestModel;
  readonly #wanted = new Map<string, WantedModel>();

  private constructor(context: GatewayContext, request: RequestModel) {
    this.#context = context;
    this.#request = request;
  }

  static create(
    context: GatewayContext,
    request: RequestModel,
  ): ModelRequester {
    return new ModelRequester(context, request);
  }

  /**
   * Adds requests to the demand for a model and asks the owners of engines for
   * it; resolves to the latest availability.
   */
  async request(
    service: ServiceName,
    { model, requests }: { readonly model: ModelName; requests: number },
    candidates: readonly BackendServer[],
  ): Promise<ModelAvailability> {
    const wanted = this.#obtain(`${service}/${model}`);
    wanted.requests += requests;
    const now = this.#context.now();
    if (wanted.call === undefined && now >= wanted.askedAt + callInterval) {
      wanted.askedAt = now;
      wanted.call = this.#ask(wanted, model, candidates).finally(() => {
        wanted.call = undefined;
      });
    }
    await wanted.call;
    return wanted.availability;
  }

  #obtain(key: string): WantedModel {
    let wanted = this.#wanted.get(key);
    if (wanted === undefined) {
      wanted = {
        requests: 0,
        askedAt: millis(Number.NEGATIVE_INFINITY),
        availability: { kind: "unknown" },
        engine: undefined,
        call: undefined,
      };
      this.#wanted.set(key, wanted);
    }
    return wanted;
  }

  /** Asks the engine that promised the model before, then empty ones, then the others in rendezvous order. */
  async #ask(
    wanted: WantedModel,
    model: ModelName,
    candidates: readonly BackendServer[],
  ): Promise<void> {
    const { requests, engine: promisedBy } = wanted;
    wanted.requests = 0;
    wanted.engine = undefined;
    wanted.availability = { kind: "unknown" };
    const ranked = rankByRendezvous(
      model,
      candidates.map(({ id }) => id),
    );
    const cost = ({ id, models }: BackendServer) =>
      (id === promisedBy ? -1 : models.length === 0 ? 0 : 1) * ranked.length +
      ranked.indexOf(id);
    const owners = [...candidates].sort((a, b) => cost(a) - cost(b));
    for (const server of owners.slice(0, maxOwners)) {
      const reply = await this.#request(server, { model, requests });
      if (reply.kind !== "ready") {
        if (reply.reason === "busy") wanted.availability = { kind: "declined" };
        continue;
      }
      const readyAt = millis(this.#context.now() + reply.inMs);
      wanted.availability = { kind: "coming", readyAt };
      wanted.engine = server.id;
      return;
    }
  }
}
