import type { Clock, Millis } from "../../core/clock.ts";
import {
  type AdapterDirectory,
  createAdapterDirectory,
} from "../../core/gateway/adapter_directory.ts";
import type { ServerSelectionContext } from "../../core/gateway/choose_server.ts";
import type { GatewayConfiguration } from "../../core/gateway/configuration.ts";
import {
  createServerHealth,
  type ServerHealth,
} from "../../core/gateway/server_health.ts";
import {
  createDirectory,
  type ServerDirectory,
} from "../../core/gateway/servers.ts";
import {
  createServiceRetryBudget,
  recordRequest,
  type ServiceRetryBudget,
  type ServiceRetryLimits,
  takeRetry,
} from "../../core/gateway/service_retry_budget.ts";
import type {
  DataCentre,
  MachineName,
  PlaceKey,
  Region,
  ServiceName,
} from "../../core/ids.ts";
import type { ServerLinks } from "../../ports/gateway.ts";
import type { Journal, Meter } from "../../ports/journal.ts";

/** Who and where a node is. */
export type NodeIdentity = {
  readonly machine: MachineName;
  /** Made at each start of the process. */
  readonly process: string;
  readonly dataCentre: DataCentre;
  readonly region: Region;
  readonly regions: ReadonlyMap<DataCentre, Region>;
  /** `IP:PORT` of the peer listener. */
  readonly peerAddress: string;
};

/** What the tasks of a gateway need from outside. */
export type GatewayDependencies = {
  readonly identity: NodeIdentity;
  readonly clock: Clock;
  readonly random: () => number;
  readonly journal: Journal;
  readonly meter: Meter;
  readonly links: ServerLinks;
  readonly repeatLimits: ServiceRetryLimits;
};

/** What one node knows; written by the gateway's tasks, read by its requests. */
export class GatewayContext {
  readonly dependencies: GatewayDependencies;
  readonly directory: ServerDirectory = createDirectory();
  readonly health: ServerHealth = createServerHealth();
  readonly adapterDirectory: AdapterDirectory = createAdapterDirectory();
  /** Newest declared version of each adapter. */
  readonly versions = new Map<PlaceKey, number>();
  configuration: GatewayConfiguration | undefined;
  /** Nodes that share the allowance for repeats. */
  nodeCount = 1;
  readonly #allowances = new Map<ServiceName, ServiceRetryBudget>();

  private constructor(setup: GatewayDependencies) {
    this.dependencies = setup;
  }

  static create(setup: GatewayDependencies): GatewayContext {
    return new GatewayContext(setup);
  }

  now(): Millis {
    return this.dependencies.clock.now();
  }

  selectionContext(): ServerSelectionContext & {
    readonly adapterDirectory: AdapterDirectory;
  } {
    const { dataCentre, region, regions } = this.dependencies.identity;
    return {
      dataCentre,
      region,
      regionOf: (other) => regions.get(other),
      health: this.health,
      adapterDirectory: this.adapterDirectory,
      now: this.now(),
    };
  }

  /** Counts a request for a service. */
  countRequest(service: ServiceName): void {
    recordRequest(this.#obtainAllowance(service), this.now());
  }

  /** Takes one repeat from this node's share of the allowance. */
  takeRepeat(service: ServiceName): boolean {
    const taken = takeRetry(this.#obtainAllowance(service), {
      now: this.now(),
      nodes: this.nodeCount,
    });
    if (!taken) this.dependencies.meter.count("gateway_repeats_denied_total");
    return taken;
  }

  #obtainAllowance(service: ServiceName): ServiceRetryBudget {
    let allowance = this.#allowances.get(service);
    if (allowance === undefined) {
      allowance = createServiceRetryBudget(this.dependencies.repeatLimits);
      this.#allowances.set(service, allowance);
    }
    return allowance;
  }
}
