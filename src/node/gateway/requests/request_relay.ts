import { millis } from "../../../core/clock.ts";
import type {
  CallerSink,
  ProxiedRequest,
  ServerFailure,
  ServerRequestControl,
} from "../../../ports/gateway.ts";
import type { RelayLinks } from "../../../ports/relays.ts";
import type { GatewayContext } from "../context.ts";
import type { RelayPeers } from "../peers/relay_peers.ts";
import type { RequestPlan } from "./request_intake.ts";

/** Maximum number of nodes that one request is passed on to. */
const maxPeers = 3;

/** Way of requests to servers by other nodes. */
export type RelayWay = {
  readonly peers: RelayPeers;
  readonly links: RelayLinks;
};

type RequestRelayOptions = {
  readonly context: GatewayContext;
  readonly relays: RelayWay;
  readonly request: ProxiedRequest;
  readonly plan: RequestPlan;
  readonly sink: Pick<CallerSink, "start" | "write" | "end">;
};

/** How an answer by way of another node ended. */
export type RelayEnd =
  | { readonly kind: "whole" }
  | Pick<ServerFailure, "kind" | "detail">;

/** Passes one request on to another node while this one reaches no server. */
export class RequestRelay {
  readonly #options: RequestRelayOptions;
  readonly #tried = new Set<string>();
  #control: ServerRequestControl | undefined;

  private constructor(options: RequestRelayOptions) {
    this.#options = options;
  }

  static create(options: RequestRelayOptions): RequestRelay {
    return new RequestRelay(options);
  }

  /** Whether the request should go to another node now: no further than one, and only from one that reaches no server. */
  get isNeeded(): boolean {
    const { context, request } = this.#options;
    if (!context.reach.isLost || request.relayed !== undefined) return false;
    return this.#choosePeer() !== undefined;
  }

  /** Whether another node may have the request. */
  get isSent(): boolean {
    return this.#control !== undefined;
  }

  /** Passes the request on after so many attempts that may have run it; resolves when its answer has ended. */
  run(runs: number): Promise<RelayEnd> {
    const { context, relays, request, plan, sink } = this.#options;
    const address = this.#choosePeer();
    if (address === undefined)
      return Promise.resolve({ kind: "unreachable", detail: "No other node" });
    this.#tried.add(address);
    const timeLeft = millis(plan.limits.end - context.now());
    return new Promise((resolve) => {
      const end = (result: RelayEnd) => {
        this.#control = undefined;
        const { meter } = context.dependencies;
        meter.count("gateway_relays_total", { result: result.kind });
        resolve(result);
      };
      this.#control = relays.links.send(
        address,
        { request, timeLeft, runs },
        {
          onHead: (head) => sink.start(head),
          onBytes: (bytes) => {
            if (!sink.write(bytes)) this.#control?.pause();
          },
          onEnd: () => {
            sink.end();
            end({ kind: "whole" });
          },
          onFailure: (failure) => end(failure),
        },
      );
    });
  }

  resume(): void {
    this.#control?.resume();
  }

  /** Ends the request at the other node. */
  cancel(): void {
    this.#control?.cancel();
    this.#control = undefined;
  }

  #choosePeer(): string | undefined {
    if (this.#tried.size >= maxPeers) return undefined;
    return this.#options.relays.peers.choose(this.#tried);
  }
}
