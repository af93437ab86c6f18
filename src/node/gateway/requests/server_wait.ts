import { type Millis, millis, sleep } from "../../../core/clock.ts";
import { findReadyAt } from "../../../core/gateway/adapter_directory.ts";
import {
  type BeginDecision,
  decideBegin,
} from "../../../core/gateway/begin_in_time.ts";
import type { Resumption } from "../../../core/gateway/server_pauses.ts";
import {
  type BackendServer,
  listUsableServers,
} from "../../../core/gateway/servers.ts";
import {
  formatModelAdapterKey,
  type ServerId,
  type ServiceName,
} from "../../../core/ids.ts";
import type { ModelDemand } from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import type { ModelAvailability } from "../engines/model_requester.ts";
import type {
  RefusalListener,
  ServerSelection,
} from "../servers/adapter_selector.ts";
import type { ServerSelector } from "../servers/server_selector.ts";
import { findLoadUrgency } from "./request_urgency.ts";
import type { Need, WaitingPlace } from "./waiting_line.ts";

/** Maximum delay between two attempts to select a server, in ms. */
const pollInterval = millis(60);

/** Criteria and callbacks of a wait for a server. */
export type ServerWaitOptions = {
  readonly context: GatewayContext;
  readonly selector: ServerSelector;
  readonly service: ServiceName;
  readonly demand: ModelDemand | undefined;
  /** Place of the request among those that wait for the service. */
  readonly place: WaitingPlace;
  /** Whether the request goes on with a stream, which not all servers may. */
  readonly isResumption: boolean;
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
  /** End of the time that the route and the caller allow, and that time from the arrival on. */
  readonly deadline: Millis;
  readonly fullTime: Millis;
  /** Whether the request has ended in the meantime. */
  readonly hasEnded: () => boolean;
  /** Called when the request starts to wait for an adapter. */
  readonly onAdapterWait: (server: BackendServer) => void;
  readonly onRefused: RefusalListener;
  /** Called if no engine holds the model. */
  readonly onModelMissing: (availability: ModelAvailability) => void;
  /** Called with the end of the first pause while all servers are paused, and with undefined once one is not. */
  readonly onPaused: (resumption: Resumption | undefined) => void;
  /** Called if more urgent requests fill the line. */
  readonly onOutranked: () => void;
  /** Called if no server can begin the request before its deadline. */
  readonly onTooLate: (
    decision: Extract<BeginDecision, { kind: "too-late" }>,
  ) => void;
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
  const { place } = options;
  const rankLoad = () => findLoadUrgency(context, place.urgency);
  const request = { ...candidates, ...callbacks, tried, deniedBy, rankLoad };
  const need = describeNeed(options);
  /** Waits for the next turn; whether the request may go on. */
  const waitForTurn = async (wakeAt: Millis) => {
    const end = await place.wait(need, wakeAt);
    if (end === "outranked") options.onOutranked();
    return end === "turn";
  };
  if (place.isBehindOthers(need.key) && !(await waitForTurn(context.now())))
    return undefined;
  let isFirst = true;
  while (!options.hasEnded() && isInTime) {
    // Only servers at which the stream cannot go on: the caller can start anew sooner.
    if (selector.hasOnlyServersBut(service, isEligible)) return undefined;
    // The owners of engines order the loads of adapters, so the next request need not wait.
    if (demand?.adapter !== undefined) place.passTurn();
    const selection = await selector.select(service, { ...request, isFirst });
    isFirst = false;
    if (selection !== undefined && selection.readyAt <= options.until) {
      const begin = decideBegin(selector.listWaits(service, candidates), {
        timeLeft: millis(options.deadline - context.now()),
        fullTime: options.fullTime,
      });
      if (begin.kind === "in-time") return selection;
      options.onTooLate(begin);
      return undefined;
    }
    const pauseEnd = findPauseEnd();
    const nextPoll = context.now() + pollInterval;
    // A caller that cannot be served in time returns after the pause instead of waiting.
    if (Math.max(pauseEnd, nextPoll) >= options.until) return undefined;
    if (selection === undefined) tried.clear();
    const wakeAt = pauseEnd > context.now() ? pauseEnd : nextPoll;
    if (!(await waitForTurn(millis(wakeAt)))) return undefined;
  }
  return undefined;
}

/** Describes what the request waits for, so that those of equal needs keep their order. */
function describeNeed({
  context,
  service,
  demand,
  isResumption,
  isEligible,
}: ServerWaitOptions): Need {
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
