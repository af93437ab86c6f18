import type { Either } from "purify-ts";
import type { Millis } from "../core/clock.ts";
import type { GatewayConfiguration } from "../core/gateway/configuration.ts";
import type {
  EngineUsage,
  OwnerReport,
} from "../core/gateway/engine_backlog.ts";
import type { IncomingAdapter } from "../core/gateway/engine_contents.ts";
import type { EngineOrder, OrderAnswer } from "../core/gateway/orders.ts";
import type { BackendServer, ServerChange } from "../core/gateway/servers.ts";
import type {
  AdapterName,
  FencingNumber,
  MachineName,
  ModelAdapterKey,
  ModelName,
  RequestId,
  ServerId,
} from "../core/ids.ts";
import type { Refusal } from "../core/results/refusal.ts";

/** Header names and values in turn, as they came. */
export type RawHeaders = readonly string[];

/** The model that a request names. */
export type ModelDemand = {
  readonly model: ModelName;
  readonly adapter: AdapterName | undefined;
  /** Tokens of the prompt and the most tokens of the answer. */
  readonly promptTokens: number;
  readonly answerTokens: number;
};

/** One request whose content the node does not look into. */
export type ProxiedRequest = {
  readonly requestId: RequestId;
  readonly method: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly path: string;
  /** Headers to pass on, without those of one connection or of the system. */
  readonly headers: RawHeaders;
  readonly body: Uint8Array;
  /** Undefined for a request to a service without models. */
  readonly demand: ModelDemand | undefined;
  /** Time that the caller will wait, in ms from its arrival. */
  readonly deadline: Millis | undefined;
  /** Event after which the caller wants a stream to go on. */
  readonly resumeAfter: string | undefined;
  readonly arrivedAt: Millis;
};

/** Status and headers of a server's answer. */
export type ResponseHead = {
  readonly status: number;
  readonly headers: RawHeaders;
};

/** Receives the answer to one request; `refuse`, `end` and `abort` are final. */
export type CallerSink = {
  start(head: ResponseHead): void;
  write(bytes: Uint8Array): void;
  end(): void;
  refuse(refusal: Refusal): void;
  /** Ends an answer that has begun so that it cannot look complete. */
  abort(): void;
};

/** One send of a request to a server. */
export type ServerRequest = {
  readonly request: ProxiedRequest;
  readonly server: BackendServer;
  /** Time that the server may work, in ms. */
  readonly timeLeft: Millis;
  /** Version of the adapter that has to answer. */
  readonly adapterVersion: number | undefined;
  readonly priority: number | undefined;
  /** Event after which the stream goes on. */
  readonly resumeAfter: string | undefined;
};

/** How one send ended without a whole answer. */
export type ServerFailure = {
  /**
   * `unreachable`: no connection. `not-run`: the server says that it did not
   * run the request. `misdirected`: as `not-run`, by another server, or one
   * without the model, adapter or version. `broken`: the connection ended or
   * the answer was not sound. `crossed`: the answer belongs to another request.
   */
  readonly kind:
    | "unreachable"
    | "not-run"
    | "misdirected"
    | "broken"
    | "crossed";
  readonly detail: string;
};

/** Receives the answer of one send; `onEnd` and `onFailure` are final. */
export type ServerResponseSink = {
  onHead(head: ResponseHead): void;
  onBytes(bytes: Uint8Array): void;
  onEnd(): void;
  onFailure(failure: ServerFailure): void;
};

/** Steers one send. */
export type ServerRequestControl = {
  /** Ends the send and its connection; no sink call follows. */
  cancel(): void;
};

/** Way to backend servers. */
export type ServerLinks = {
  send(order: ServerRequest, sink: ServerResponseSink): ServerRequestControl;
  /** Drops the connections to a server that is gone. */
  disconnect(server: ServerId): void;
};

/** What an engine says about itself when asked; may lag behind by some hundred ms. */
export type EngineStatus = {
  readonly models: BackendServer["models"];
  /** Adapters on their way to the engine. */
  readonly incoming: readonly IncomingAdapter[];
  readonly busy: boolean;
  readonly orderCount: number;
};

/** Way to give orders to engines. */
export type EngineOrders = {
  /** Must write the order in the turn of the call, or not at all. */
  order(
    server: BackendServer,
    order: EngineOrder,
    holder: { readonly machine: MachineName; readonly fence: FencingNumber },
  ): Promise<OrderAnswer>;
  fetchStatus(
    server: BackendServer,
  ): Promise<Either<{ readonly detail: string }, EngineStatus>>;
};

/** A newer version of an adapter that the operator declared. */
export type AdapterVersion = {
  readonly place: ModelAdapterKey;
  readonly version: number;
};

/** What the operator and the servers have written, as far as it changed. */
export type InstallationChange =
  | { readonly type: "configuration"; readonly value: GatewayConfiguration }
  | { readonly type: "adapter-version"; readonly value: AdapterVersion }
  | { readonly type: "server"; readonly change: ServerChange }
  /** Everything of the first read has been told. */
  | { readonly type: "complete"; readonly topic: "operator" | "servers" };

/** Follows what the operator and the servers write. */
export type InstallationFeed = {
  follow(listener: (change: InstallationChange) => void): void;
  stop(): void;
};

/** Answer of an engine's owner to a request for an adapter. */
export type AcquireResult =
  /** The adapter is, or will be, ready in so many ms. */
  | { readonly kind: "ready"; readonly inMs: number }
  | {
      readonly kind: "refused";
      readonly reason: "not-owner" | "full" | "busy" | "cold" | "unreachable";
    };

/** Report between nodes: use of engines to their owner, or load from it. */
export type UsageMessage =
  | {
      readonly type: "use";
      readonly from: MachineName;
      readonly engines: readonly EngineUsage[];
    }
  | {
      readonly type: "load";
      readonly from: MachineName;
      readonly engines: readonly OwnerReport[];
    };

/** Unreliable messages between nodes, by `IP:PORT`. */
export type UsageChannel = {
  send(address: string, message: UsageMessage): void;
  onMessage(listener: (message: UsageMessage, from: string) => void): void;
  close(): void;
};

/** What nodes ask of each other. */
export type NodeCallHandler = {
  acquire(request: {
    readonly engine: ServerId;
    readonly place: ModelAdapterKey;
    readonly version: number;
    /** The engine has just answered that it does not hold the adapter. */
    readonly wasDenied: boolean;
    /** Longest wait until the load may begin, in ms. */
    readonly patience: number;
  }): Promise<AcquireResult>;
};

/** Way to the other nodes; each call has a deadline and fails as `unreachable`. */
export type NodeLinks = {
  acquire(
    address: string,
    request: Parameters<NodeCallHandler["acquire"]>[0],
  ): Promise<AcquireResult>;
};
