import type { Millis } from "../../../core/clock.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { SoftwareVersion } from "../../../core/ids.ts";
import type { ProxiedRequest } from "../../../ports/gateway.ts";
import type { RequestPlan } from "../requests/request_intake.ts";
import type { FoundOrigin, StreamKeeper } from "./stream_keeper.ts";

/** Servers at which one stream may go on: those of the software version that began it. */
export class StreamContinuation {
  readonly #keeper: StreamKeeper;
  readonly #request: ProxiedRequest;
  readonly #plan: RequestPlan;
  /** The caller has events of the stream. */
  #hasEvents: boolean;
  /** Version that sent them; undefined if the server stated none. */
  #version: SoftwareVersion | undefined;

  private constructor(
    keeper: StreamKeeper,
    { request, plan }: { request: ProxiedRequest; plan: RequestPlan },
  ) {
    this.#keeper = keeper;
    this.#request = request;
    this.#plan = plan;
    this.#hasEvents = this.isResumption;
  }

  static create(
    keeper: StreamKeeper,
    call: { request: ProxiedRequest; plan: RequestPlan },
  ): StreamContinuation {
    return new StreamContinuation(keeper, call);
  }

  /** Version that has begun the stream. */
  get version(): SoftwareVersion | undefined {
    return this.#version;
  }

  /** Whether the caller takes up a stream that an earlier request began. */
  get isResumption(): boolean {
    const isStream = this.#plan.route.retryRule === "stream";
    return isStream && this.#request.resumeAfter !== undefined;
  }

  /** Finds the version that began the stream of an earlier request. */
  async findOrigin(until: Millis): Promise<FoundOrigin> {
    const { service } = this.#plan;
    const { resumes } = this.#request;
    const origin = await this.#keeper.findOrigin(service, resumes, until);
    this.#version = origin.version;
    return origin;
  }

  /** Records that the caller gets the first event of this response. */
  recordEvents(server: BackendServer, openedAt: Millis): void {
    const { service, route } = this.#plan;
    const isFirst = !this.#hasEvents;
    this.#hasEvents = true;
    if (!route.resumable) return;
    if (isFirst) this.#keeper.recordBegin(this.#id, { server, openedAt });
    else if (this.#version !== undefined)
      this.#keeper.recordTakeUp(this.#id, service, this.#version);
  }

  /**
   * Finds the version that began the stream of this request, before it goes on
   * elsewhere; false if that stays open. The server may have started again with
   * other software before the stream began.
   */
  async settle(until: Millis): Promise<boolean> {
    if (!this.#hasEvents || this.#version !== undefined) return true;
    const query = { id: this.#id, service: this.#plan.service };
    this.#version = await this.#keeper.settle(query, until);
    return this.#version !== undefined;
  }

  /**
   * Whether the rest of the stream may come from the process at the other end
   * of a connection: the one that its server's entry describes.
   */
  provesServer(
    server: BackendServer,
    openedAt: Millis,
  ): true | Promise<boolean> {
    return this.#hasEvents ? this.#keeper.proveServer(server, openedAt) : true;
  }

  /** Records that the caller got the whole stream. */
  recordWhole(): void {
    this.#keeper.recordWhole(this.#id);
  }

  /** Whether the stream may begin at a server, or go on there. */
  readonly allows = (server: BackendServer): boolean => {
    if (this.#hasEvents)
      return (
        this.#version !== undefined && server.softwareVersion === this.#version
      );
    return !this.#plan.route.resumable || !this.#keeper.isTooNew(server);
  };

  /** Request that brought the first event. */
  get #id() {
    return this.#request.resumes ?? this.#request.requestId;
  }
}
