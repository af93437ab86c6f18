import { type Millis, millis, sleep } from "../../core/clock.ts";
import type { BackendServer } from "../../core/gateway/servers.ts";
import type { ServerId, ServiceName } from "../../core/ids.ts";
import type { ModelDemand } from "../../ports/gateway.ts";
import type { GatewayContext } from "./context.ts";
import type {
  RefusalListener,
  ServerSelection,
  ServerSelector,
} from "./server_selector.ts";

/** Pause between two looks for a server, in ms. */
const lookPause = millis(60);

/** What a search for a server depends on. */
export type ServerWaitOptions = {
  readonly context: GatewayContext;
  readonly locator: ServerSelector;
  readonly service: ServiceName;
  readonly demand: ModelDemand | undefined;
  /** Servers to leave out; emptied when no other is left, since they may serve again. */
  readonly tried: Set<ServerId>;
  readonly deniedBy: ServerId | undefined;
  /** Latest time at which the server has to be able to take the request. */
  readonly until: Millis;
  /** The request has ended in the meantime. */
  readonly hasEnded: () => boolean;
  /** Called when the request begins to wait for an adapter. */
  readonly onAdapterWait: (server: BackendServer) => void;
  readonly onRefused: RefusalListener;
};

/** Waits until a server can take a request; undefined if none can by then. */
export async function waitForServer(
  options: ServerWaitOptions,
): Promise<ServerSelection | undefined> {
  const { context, until } = options;
  const { clock, meter } = context.dependencies;
  const startedAt = context.now();
  const location = await withinTime(options, lookForServer(options));
  if (location === undefined || options.hasEnded()) return undefined;
  const wait = millis(location.readyAt - context.now());
  if (wait > 0) {
    options.onAdapterWait(location.server);
    await sleep(clock, millis(Math.min(wait, until - context.now())));
  }
  if (options.demand?.adapter !== undefined) {
    meter.observe("gateway_adapter_wait_ms", context.now() - startedAt);
  }
  return location;
}

async function lookForServer(
  options: ServerWaitOptions,
): Promise<ServerSelection | undefined> {
  const { context, locator, service } = options;
  const { demand, tried, deniedBy, onRefused } = options;
  const request = { demand, tried, deniedBy, onRefused };
  while (!options.hasEnded()) {
    const location = await locator.select(service, request);
    if (location !== undefined && location.readyAt <= options.until) {
      return location;
    }
    if (context.now() + lookPause >= options.until) return undefined;
    if (location === undefined) tried.clear();
    await sleep(context.dependencies.clock, lookPause);
  }
  return undefined;
}

/** The owners of engines may answer too late; the request does not wait for them. */
function withinTime(
  { context, until }: ServerWaitOptions,
  search: Promise<ServerSelection | undefined>,
): Promise<ServerSelection | undefined> {
  return new Promise((resolve, reject) => {
    const left = millis(until - context.now());
    const cancel = context.dependencies.clock.schedule(left, () =>
      resolve(undefined),
    );
    search.then(resolve, reject).finally(cancel);
  });
}
