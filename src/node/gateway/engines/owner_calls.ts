import { hasRecentReport } from "../../../core/gateway/adapter_directory.ts";
import {
  clearRefusals,
  createOwnerRefusals,
  isHeldOff,
  recordRefusal,
} from "../../../core/gateway/owner_refusals.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { MachineName, ServerId } from "../../../core/ids.ts";
import type {
  AcquireResult,
  ModelResult,
  NodeLinks,
} from "../../../ports/nodes.ts";
import type { GatewayContext } from "../context.ts";
import type { PeerContacts } from "../peers/peer_contacts.ts";
import type { LeaseManager } from "../rows/lease_manager.ts";
import type { AcquireAdapter } from "../servers/adapter_selector.ts";
import type { EngineControllers } from "./engine_controllers.ts";
import type { RequestModel } from "./model_requester.ts";

type OwnerCallsOptions = {
  readonly context: GatewayContext;
  readonly leases: LeaseManager;
  readonly contacts: PeerContacts;
  readonly engineControllers: EngineControllers;
  readonly nodeLinks: NodeLinks;
};

/** Where the owner of an engine is reached. */
type Owner =
  | { readonly kind: "self" }
  | { readonly kind: "peer"; machine: MachineName; address: string }
  | { readonly kind: "missing" };

type WantedAdapter = Parameters<AcquireAdapter>[1];

/** Calls to the owners of engines, which may be this node. */
export class OwnerCalls {
  readonly #options: OwnerCallsOptions;
  readonly #refusals = createOwnerRefusals();
  /** Calls in progress, by what they ask for; requests for the same share one. */
  readonly #calls = new Map<string, Promise<AcquireResult>>();

  private constructor(options: OwnerCallsOptions) {
    this.#options = options;
  }

  static create(options: OwnerCallsOptions): OwnerCalls {
    return new OwnerCalls(options);
  }

  readonly acquire: AcquireAdapter = async (server, adapter) => {
    const { context } = this.#options;
    const { patience, wasDenied } = adapter;
    const now = context.now();
    if (isHeldOff(this.#refusals, server.id, { patience, now })) {
      context.dependencies.meter.count("gateway_owner_calls_saved_total", {
        reason: "refused-before",
      });
      return { kind: "refused", reason: "busy" };
    }
    // A denial is news for the owner.
    if (wasDenied) return this.#ask(server, adapter);
    const { place, version, urgency } = adapter;
    // A more urgent request may raise the turn of a load that is pending.
    const wanted = [server.id, place, version, patience, urgency.level];
    const key = JSON.stringify(wanted);
    const call = this.#calls.get(key);
    if (call !== undefined) {
      context.dependencies.meter.count("gateway_owner_calls_saved_total", {
        reason: "joined",
      });
      return call;
    }
    const started = this.#ask(server, adapter).finally(() =>
      this.#calls.delete(key),
    );
    this.#calls.set(key, started);
    return started;
  };

  /** Asks the owner of an engine, and remembers whether it refused. */
  async #ask(
    server: BackendServer,
    adapter: WantedAdapter,
  ): Promise<AcquireResult> {
    const answer = await this.#call(server, adapter);
    if (answer.kind === "ready") {
      clearRefusals(this.#refusals, server.id);
      return answer;
    }
    const { reason } = answer;
    // Another node may be the owner at once.
    if (reason === "not-owner") return answer;
    const { random } = this.#options.context.dependencies;
    const refusal = {
      engine: server.id,
      isUnanswered: reason === "unreachable",
      patience: adapter.patience,
      retryIn: answer.retryIn,
    };
    const moment = { now: this.#options.context.now(), spread: random() };
    recordRefusal(this.#refusals, refusal, moment);
    return answer;
  }

  async #call(
    server: BackendServer,
    adapter: WantedAdapter,
  ): Promise<AcquireResult> {
    const { context, contacts, engineControllers, nodeLinks } = this.#options;
    const { machine: from } = context.dependencies.identity;
    const request = { from, engine: server.id, ...adapter };
    const owner = this.#findOwner(server.id);
    const refused: AcquireResult = { kind: "refused", reason: "not-owner" };
    if (owner.kind === "missing") return refused;
    if (owner.kind === "self") return engineControllers.acquire(request);
    contacts.recordRequest(owner.machine);
    const answer = await nodeLinks.acquire(owner.address, request);
    const isAnswered =
      answer.kind === "ready" || answer.reason !== "unreachable";
    if (isAnswered) contacts.recordContact(owner.machine);
    return answer;
  }

  readonly requestModel: RequestModel = async (server, wanted) => {
    const { engineControllers, nodeLinks } = this.#options;
    const request = { engine: server.id, ...wanted };
    const owner = this.#findOwner(server.id);
    const refused: ModelResult = { kind: "refused", reason: "not-owner" };
    if (owner.kind === "missing") return refused;
    if (owner.kind === "self") return engineControllers.requestModel(request);
    return nodeLinks.requestModel(owner.address, request);
  };

  /** Whether the contents of an engine are recent, or its owner cannot tell more. */
  isKnown(engine: ServerId): boolean {
    const { context, leases, contacts } = this.#options;
    const now = context.now();
    if (hasRecentReport(context.adapterDirectory, engine, now)) return true;
    const holder = leases.findHolder(engine);
    return holder === undefined || contacts.isUnresponsive(holder);
  }

  /** Drops what is remembered of an engine that is gone. */
  forget(engine: ServerId): void {
    clearRefusals(this.#refusals, engine);
  }

  #findOwner(engine: ServerId): Owner {
    const { context, leases, contacts } = this.#options;
    const machine = leases.findHolder(engine);
    if (machine === undefined) return { kind: "missing" };
    if (machine === context.dependencies.identity.machine)
      return { kind: "self" };
    const address = leases.findAddress(machine);
    if (address === undefined || contacts.isUnresponsive(machine))
      return { kind: "missing" };
    return { kind: "peer", machine, address };
  }
}
