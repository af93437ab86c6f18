import { type Millis, millis, sleep } from "../../../core/clock.ts";
import type { Resumption } from "../../../core/gateway/server_pauses.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { ServerId, ServiceName } from "../../../core/ids.ts";
import type { ModelDemand } from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import type { ModelAvailability } from "../engines/model_requester.ts";
import type {
  RefusalListener,
  ServerSelection,
} from "../servers/adapter_selector.ts";
import type { ServerSelector } from "../servers/server_selector.ts";

/** Delay between two attempts to select a server, in ms. */
const pollInterval = millis(60);

/** Criteria and callbacks of a wait for a server. */
export type ServerWaitOptions = {
  readonly context: GatewayContext;
  readonly selector: ServerSelector;
  readonly service: ServiceName;
  readonly demand: ModelDemand | undefined;
  /** Whether a server may serve the request. */
  readonly isEligible: (server: BackendServer) => boolean;
  /**
   * Servers that are not selected; cleared when no other can take the request,
   * since they may have recovered.
   */
  readonly tried: Set<ServerId>;
  readonly deniedBy: ServerId | undefined;
  /** Time by which the server must be able to take the request. */
  readonly until: Millis;
  /** Whether the request has ended in the meantime. */
  readonly hasEnded: () => boolean;
  /** Called when the request starts to wait for an adapter. */
  readonly onAdapterWait: (server: BackendServer) => void;
  readonly onRefused: RefusalListener;
  /** Called if no engine holds the model. */
  readonly onModelMissing: (availability: ModelAvailability) => void;
  /** Called with the end of the first pause while all servers are paused, and with undefined once one is not. */
  readonly onPaused: (resumption: Resumption | undefined) => void;
};

/** Waits until a server can take the request; undefined if none can by `until`. */
export async function waitForServer(
  options: ServerWaitOptions,
): Promise<ServerSelection | undefined> {
  const { context, until } = options;
  const { clock, meter } = context.dependencies;
  const startedAt = context.now();
  const selection = await withDeadline(options, pollForServer(options));
  if (selection === undefined || options.hasEnded()) return undefined;
  const wait = millis(selection.readyAt - context.now());
  if (wait > 0) {
    options.onAdapterWait(selection.server);
    await sleep(clock, millis(Math.min(wait, until - context.now())));
  }
  if (options.demand?.adapter !== undefined) {
    meter.observe("gateway_adapter_wait_ms", context.now() - startedAt);
  }
  return selection;
}

async function pollForServer(
  options: ServerWaitOptions,
): Promise<ServerSelection | undefined> {
  const { context, selector, service } = options;
  const { demand, isEligible, tried, deniedBy, onRefused } = options;
  let isInTime = true;
  const onModelMissing = (availability: ModelAvailability) => {
    // A model that takes longer is not waited for, so that the caller can return later.
    if (availability.kind !== "unknown") {
      isInTime =
        availability.kind === "coming" && availability.readyAt <= options.until;
    }
    options.onModelMissing(availability);
  };
  const findPauseEnd = () => {
    const resumption = selector.findResumption(service, {
      demand,
      isEligible,
    });
    options.onPaused(resumption);
    return resumption?.at ?? context.now();
  };
  const candidates = { demand, isEligible };
  const callbacks = { onRefused, onModelMissing };
  const request = { ...candidates, ...callbacks, tried, deniedBy };
  let isFirst = true;
  while (!options.hasEnded() && isInTime) {
    // Only servers at which the stream cannot go on: the caller can start anew sooner.
    if (selector.hasOnlyServersBut(service, isEligible)) return undefined;
    const selection = await selector.select(service, { ...request, isFirst });
    isFirst = false;
    if (selection !== undefined && selection.readyAt <= options.until) {
      return selection;
    }
    const pauseEnd = findPauseEnd();
    // A caller that cannot be served in time returns after the pause instead of waiting.
    const nextAttempt = Math.max(pauseEnd, context.now() + pollInterval);
    if (nextAttempt >= options.until) return undefined;
    if (selection === undefined) tried.clear();
    await sleep(context.dependencies.clock, pollInterval);
  }
  return undefined;
}

/** Resolves to undefined at `until`, since the owners of engines may answer too late. */
function withDeadline(
  { context, until }: ServerWaitOptions,
  selection: Promise<ServerSelection | undefined>,
): Promise<ServerSelection | undefined> {
  return new Promise((resolve, reject) => {
    const timeLeft = millis(until - context.now());
    const cancel = context.dependencies.clock.schedule(timeLeft, () =>
      resolve(undefined),
    );
    selection.then(resolve, reject).finally(cancel);
  });
}
