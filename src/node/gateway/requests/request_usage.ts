import type { BackendServer } from "../../../core/gateway/servers.ts";
import { formatModelAdapterKey, formatModelKey } from "../../../core/ids.ts";
import type { ModelDemand } from "../../../ports/gateway.ts";
import type { EngineUsageCounter } from "../engines/engine_usage.ts";

/** Counts one request at its engine, so that the engine's owner keeps the adapter there. */
export class RequestUsage {
  readonly #counter: EngineUsageCounter;
  readonly #demand: ModelDemand | undefined;
  #server: BackendServer | undefined;
  #release: () => void = () => {};

  private constructor(
    counter: EngineUsageCounter,
    demand: ModelDemand | undefined,
  ) {
    this.#counter = counter;
    this.#demand = demand;
  }

  static create(
    counter: EngineUsageCounter,
    demand: ModelDemand | undefined,
  ): RequestUsage {
    return new RequestUsage(counter, demand);
  }

  /** Counts the request as sent to a server, or as running there if it goes on from another. */
  trackSend(server: BackendServer, isRunning: boolean): void {
    this.#server = server;
    if (isRunning) return this.trackRun();
    const demand = this.#demand;
    if (demand === undefined) return;
    this.release();
    this.#release = this.#counter.trackSent(
      server.id,
      formatDemandKey(demand),
      demand.promptTokens,
    );
  }

  /** Counts the request as running at the server that it was sent to. */
  trackRun(): void {
    const demand = this.#demand;
    if (demand === undefined || this.#server === undefined) return;
    this.release();
    const { id } = this.#server;
    this.#release = this.#counter.trackRunning(id, formatDemandKey(demand));
  }

  /** Ends the count. */
  release(): void {
    this.#release();
    this.#release = () => {};
  }
}

function formatDemandKey({ model, adapter }: ModelDemand) {
  return adapter === undefined
    ? formatModelKey(model)
    : formatModelAdapterKey(model, adapter);
}
