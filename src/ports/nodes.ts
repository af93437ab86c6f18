import type { Millis } from "../core/clock.ts";
import type {
  EngineBacklog,
  EngineUsage,
  OwnerReport,
} from "../core/gateway/engine_backlog.ts";
import type { LoadUrgency } from "../core/gateway/load_urgency.ts";
import type { ServerOverload } from "../core/gateway/server_overload.ts";
import type { Incarnation } from "../core/gateway/servers.ts";
import type { PaceNews, PaceReport } from "../core/gateway/shared_pace.ts";
import type {
  Digest,
  MachineName,
  ModelAdapterKey,
  ModelName,
  ServerId,
  SoftwareVersion,
} from "../core/ids.ts";
import type { PoisonRecord } from "../core/poison/record.ts";
import type { LimitMessage, PermitAnswer, PermitRequest } from "./permits.ts";
import type { CreditMessage } from "./quotas.ts";
import type { StreamMessage, StreamQuery } from "./streams.ts";

/** Response of an engine's owner to a request for an adapter. */
export type AcquireResult =
  /** The adapter is ready now or will be in `inMs` ms; with the requests of the other nodes. */
  | {
      readonly kind: "ready";
      readonly inMs: number;
      readonly backlog: EngineBacklog;
    }
  | {
      readonly kind: "refused";
      /**
       * `not-owner`: the node does not own the engine. `full`: no slot became
       * free in time. `busy`: the load could not start within `patience`, or too
       * many loads are pending. `cold`: the engine did not hold the model in
       * time. `unreachable`: the call to the owner failed.
       */
      readonly reason: "not-owner" | "full" | "busy" | "cold" | "unreachable";
      /** Time after which the load could start within the patience, in ms, if the owner says so. */
      readonly retryIn?: number | undefined;
    };

/** Response of an engine's owner to a request for a base model. */
export type ModelResult =
  /** The engine holds the model, or will in `inMs` ms. */
  | { readonly kind: "ready"; readonly inMs: number }
  | {
      readonly kind: "refused";
      /** `busy`: the engine keeps what it holds. */
      readonly reason: "busy" | "not-owner" | "unreachable";
    };

/** Request for a base model at one engine. */
export type ModelRequest = {
  readonly engine: ServerId;
  readonly model: ModelName;
  /** Number of requests that need the model since the last call. */
  readonly requests: number;
};

/** Report between nodes: engine usage to the owner, or the engine's backlog from the owner. */
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

/** Record of content that may crash servers, or announcement of a trial of it. */
export type PoisonMessage =
  | {
      /** `poison` goes to all nodes, `crashes` to those that put together the crashes of a whole request. */
      readonly type: "poison" | "crashes";
      readonly from: MachineName;
      readonly digest: Digest;
      readonly record: PoisonRecord;
    }
  | {
      /** The node runs a request with these units, to see whether they crash an engine. */
      readonly type: "trial";
      readonly from: MachineName;
      readonly units: readonly Digest[];
      /** Maximum time for which the other nodes wait for the result. */
      readonly duration: Millis;
    };

/** News that one incarnation of a server leaves. */
export type LeavingMessage = {
  readonly type: "leaving";
  readonly from: MachineName;
  readonly incarnation: Incarnation;
};

/** Whether a node reaches any server. */
export type ReachMessage = {
  readonly type: "reach";
  readonly from: MachineName;
  readonly isLost: boolean;
};

/** Requests that a node has at a server without models, to the node that adds them up. */
export type CallsMessage = {
  readonly type: "calls";
  readonly from: MachineName;
  readonly server: Incarnation;
  readonly calls: number;
};

/** News that a server without models is overloaded, or no longer. */
export type OverloadMessage = ServerOverload & {
  readonly type: "overload";
  readonly from: MachineName;
};

/** Pace of an engine that a node has measured, to the engine's owner. */
export type PaceMessage = PaceReport & {
  readonly type: "pace";
  readonly from: MachineName;
};

/** Paces of engines that all nodes together have measured, from the owner. */
export type PacesMessage = {
  readonly type: "paces";
  readonly from: MachineName;
  readonly servers: readonly PaceNews[];
};

/** Message between two nodes. */
export type NodeMessage =
  | UsageMessage
  | PoisonMessage
  | LeavingMessage
  | LimitMessage
  | ReachMessage
  | CallsMessage
  | PaceMessage
  | PacesMessage
  | OverloadMessage
  | CreditMessage
  | StreamMessage;

/** Unreliable messages between nodes, which are addressed by `IP:PORT`. */
export type NodeChannel = {
  send(address: string, message: NodeMessage): void;
  onMessage(listener: (message: NodeMessage, from: string) => void): void;
  close(): void;
};

/** Handles the calls of other nodes. */
export type NodeCallHandler = {
  acquire(request: {
    /** The node that asks. */
    readonly from: MachineName;
    readonly engine: ServerId;
    readonly place: ModelAdapterKey;
    readonly version: number;
    /** The engine has just answered that the adapter is not loaded. */
    readonly wasDenied: boolean;
    /** Maximum wait until the load may start, in ms. */
    readonly patience: number;
    /** Place of the load among those that the owner has to order; the usual one if undefined. */
    readonly urgency?: LoadUrgency | undefined;
  }): Promise<AcquireResult>;
  requestModel(request: ModelRequest): Promise<ModelResult>;
  requestPermit(request: PermitRequest): Promise<PermitAnswer>;
  /** Version that began a stream, if the node remembers it. */
  findStream(query: StreamQuery): Promise<SoftwareVersion | undefined>;
};

/** Calls to other nodes; each has a timeout and fails as `unreachable`. */
export type NodeLinks = {
  acquire(
    address: string,
    request: Parameters<NodeCallHandler["acquire"]>[0],
  ): Promise<AcquireResult>;
  requestModel(address: string, request: ModelRequest): Promise<ModelResult>;
  /** Undefined if the node does not answer within `timeout` ms. */
  requestPermit(
    address: string,
    request: PermitRequest,
    timeout: Millis,
  ): Promise<PermitAnswer | undefined>;
  /** Undefined if the node does not know the stream, or does not answer. */
  findStream(
    address: string,
    query: StreamQuery,
  ): Promise<SoftwareVersion | undefined>;
};
