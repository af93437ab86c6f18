import { findReadyAt } from "../../../core/gateway/adapter_directory.ts";
import {
  type BackendServer,
  listUsableServers,
} from "../../../core/gateway/servers.ts";
import { formatModelAdapterKey, type ServiceName } from "../../../core/ids.ts";
import type { ModelDemand } from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import type { Need } from "./wait_queue.ts";

/** Which servers a request may go to. */
type ServerCriteria = {
  readonly context: GatewayContext;
  readonly service: ServiceName;
  readonly demand: ModelDemand | undefined;
  readonly isResumption: boolean;
  readonly isEligible: (server: BackendServer) => boolean;
};

/** Describes what the request waits for, so that those of equal needs keep their order. */
export function describeNeed({
  context,
  service,
  demand,
  isResumption,
  isEligible,
}: ServerCriteria): Need {
  if (demand?.adapter === undefined) {
    const key = isResumption ? undefined : `model ${demand?.model ?? ""}`;
    return { key, mayProceed: () => true };
  }
  const key = formatModelAdapterKey(demand.model, demand.adapter);
  const { adapterDirectory, availability, directory, versions } = context;
  const mayProceed = () => {
    const requested = { key, version: versions.get(key) ?? 0 };
    return listUsableServers(directory, service).some(
      (server) =>
        findReadyAt(adapterDirectory, server.id, requested) !== undefined &&
        isEligible(server) &&
        availability.canTakeNext(server),
    );
  };
  return { key: isResumption ? undefined : `adapter ${key}`, mayProceed };
}
