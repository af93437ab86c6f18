import type { Millis } from "../../../core/clock.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { SoftwareVersion } from "../../../core/ids.ts";
import type { ProxiedRequest } from "../../../ports/gateway.ts";
import type { RequestPlan } from "../requests/request_intake.ts";
import type { StreamKeeper } from "./stream_keeper.ts";

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

  /** Finds the version that began the stream of an earlier request; false if it is not known by `until`. */
  async findOrigin(until: Millis): Promise<boolean> {
    const { service } = this.#plan;
    this.#version = await this.#keeper.findOrigin(
      service,
      this.#request.resumes,
      until,
    );
    return this.#version !== undefined;
  }

  /** Records that the caller gets the first event of this response. */
  recordEvents(server: BackendServer): void {
    if (!this.#hasEvents) this.#version = server.softwareVersion;
    this.#hasEvents = true;
    if (this.#plan.route.resumable) this.#keeper.recordBegin(this.#id, server);
  }

  /** Records that the caller got the whole stream. */
  recordWhole(): void {
    this.#keeper.recordWhole(this.#id);
  }

  /** Whether the stream may go on at a server; any server may begin it. */
  readonly allows = (server: BackendServer): boolean =>
    !this.#hasEvents ||
    (this.#version !== undefined && server.softwareVersion === this.#version);

  /** Request that brought the first event. */
  get #id() {
    return this.#request.resumes ?? this.#request.requestId;
  }
}
