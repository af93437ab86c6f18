import type { MachineName } from "../../core/ids.ts";
import type { NodeChannel, NodeLinks } from "../../ports/nodes.ts";
import type { RelayLinks } from "../../ports/relays.ts";
import type { TableService } from "../../ports/table.ts";
import type { GatewayContext, GatewayDependencies } from "./context.ts";
import { PeerContacts } from "./peers/peer_contacts.ts";
import { RelayPeers } from "./peers/relay_peers.ts";
import { QuotaManager } from "./quotas/quota_manager.ts";
import { LeaseManager } from "./rows/lease_manager.ts";
import type { ReadLeaseRows } from "./rows/lease_rows.ts";
import { ServerPermits } from "./servers/server_permits.ts";

/** Dependencies of the tasks that concern the other nodes. */
export type NodeTasksOptions = GatewayDependencies & {
  readonly table: TableService;
  readonly readLeaseRows: ReadLeaseRows;
  readonly nodeChannel: NodeChannel;
  readonly nodeLinks: NodeLinks;
  readonly relayLinks: RelayLinks;
};

/** Functions by which these tasks reach the others of the gateway. */
type NodeTasksCallbacks = {
  readonly onLeaseChange: () => void;
  /** Called when this node no longer reaches any server. */
  readonly onReachLost: () => void;
};

/** The nodes of the installation, as the leases list them. */
type KnownNodes = {
  readonly machine: MachineName;
  readonly listMachines: () => readonly MachineName[] | undefined;
  readonly findAddress: (machine: MachineName) => string | undefined;
};

/** Tasks of a gateway that share what is common to all nodes: leases, permits, quotas and relays. */
export class NodeTasks {
  readonly contacts: PeerContacts;
  readonly leases: LeaseManager;
  readonly known: KnownNodes;
  readonly permits: ServerPermits;
  readonly quotas: QuotaManager;
  readonly relayPeers: RelayPeers;
  readonly #context: GatewayContext;
  readonly #options: NodeTasksOptions;

  private constructor(
    context: GatewayContext,
    options: NodeTasksOptions,
    callbacks: NodeTasksCallbacks,
  ) {
    this.#context = context;
    this.#options = options;
    this.contacts = PeerContacts.create(() => options.clock.now());
    this.leases = this.#createLeases(callbacks.onLeaseChange);
    this.known = {
      machine: options.identity.machine,
      listMachines: () => this.leases.listMachines(),
      findAddress: (machine) => this.leases.findAddress(machine),
    };
    this.permits = this.#createPermits();
    this.quotas = this.#createQuotas();
    this.relayPeers = this.#createRelayPeers();
    context.reach.follow((isLost) => {
      this.relayPeers.announce(isLost);
      if (isLost) callbacks.onReachLost();
    });
  }

  static create(
    context: GatewayContext,
    options: NodeTasksOptions,
    callbacks: NodeTasksCallbacks,
  ): NodeTasks {
    return new NodeTasks(context, options, callbacks);
  }

  #createLeases(onChange: () => void): LeaseManager {
    const { table, readLeaseRows } = this.#options;
    return LeaseManager.create({
      context: this.#context,
      table,
      readRows: readLeaseRows,
      contacts: this.contacts,
      onChange,
      onNodeList: (read) => this.quotas.recordRead(read),
    });
  }

  #createPermits(): ServerPermits {
    return ServerPermits.create({
      ...this.#options,
      ...this.known,
      limits: this.#context.availability.limits,
      contacts: this.contacts,
    });
  }

  #createQuotas(): QuotaManager {
    return QuotaManager.create({
      ...this.#options,
      ...this.known,
      channel: this.#options.nodeChannel,
      tolerance: this.#options.quotaTolerance,
      findDataCentre: (machine) => this.leases.findDataCentre(machine),
      findOrganisations: () => this.#context.configuration?.organisations,
    });
  }

  #createRelayPeers(): RelayPeers {
    return RelayPeers.create({
      ...this.#options,
      ...this.known,
      channel: this.#options.nodeChannel,
      contacts: this.contacts,
      listAddresses: () => this.leases.listOtherAddresses(),
    });
  }
}
