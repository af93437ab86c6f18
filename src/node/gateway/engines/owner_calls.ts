import { hasRecentReport } from "../../../core/gateway/adapter_directory.ts";
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

/** Calls to the owners of engines, which may be this node. */
export class OwnerCalls {
  readonly #options: OwnerCallsOptions;

  private constructor(options: OwnerCallsOptions) {
    this.#options = options;
  }

  static create(options: OwnerCallsOptions): OwnerCalls {
    return new OwnerCalls(options);
  }

  readonly acquire: AcquireAdapter = async (server, adapter) => {
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
  };

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
