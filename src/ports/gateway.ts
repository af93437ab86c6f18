import type { Either } from "purify-ts";
import type { Millis } from "../core/clock.ts";
import type { GatewayConfiguration } from "../core/gateway/configuration.ts";
import type { IncomingAdapter } from "../core/gateway/engine_contents.ts";
import type { EngineOrder, OrderAnswer } from "../core/gateway/orders.ts";
import type { Credential } from "../core/gateway/organisations.ts";
import type { BackendServer, ServerChange } from "../core/gateway/servers.ts";
import type {
  AdapterName,
  Digest,
  FencingNumber,
  MachineName,
  ModelAdapterKey,
  ModelName,
  OrganisationName,
  RequestId,
  ServerId,
} from "../core/ids.ts";
import type { Refusal } from "../core/results/refusal.ts";

/** Alternating header names and values, as received. */
export type RawHeaders = readonly string[];

/** The model that a request requires. */
export type ModelDemand = {
  readonly model: ModelName;
  readonly adapter: AdapterName | undefined;
  /** Number of prompt tokens and maximum number of answer tokens. */
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Parts of the prompt that other requests may have as well. */
  readonly sharedParts: readonly Digest[];
};

/** A request that the node forwards without reading its body. */
export type ProxiedRequest = {
  readonly requestId: RequestId;
  readonly method: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly path: string;
  /** Headers to forward, without hop-by-hop headers and those that only the system sets. */
  readonly headers: RawHeaders;
  readonly body: Uint8Array;
  /** How the caller identifies itself; none if the front end reads no keys. */
  readonly credential?: Credential;
  /** Undefined if the request is for a service without models. */
  readonly demand: ModelDemand | undefined;
  /** Tokens of prompt and answer that count in a quota; undefined if the request names none. */
  readonly tokens?: number | undefined;
  /** Time that the caller waits for the answer, in ms from the arrival. */
  readonly deadline: Millis | undefined;
  /** Id of the last event received, after which the caller resumes a stream. */
  readonly resumeAfter: string | undefined;
  /** Request that brought the first event of the stream that the caller resumes. */
  readonly resumes?: RequestId | undefined;
  /** Time at which the head arrived. */
  readonly arrivedAt: Millis;
  /** Present if another node has passed the request on, since it reaches no server. */
  readonly relayed?: {
    /** Attempts of that node that may have run the request. */
    readonly runs: number;
  };
  /** Number of requests that arrived before on the same connection, if the front end counts them. */
  readonly earlierRequests?: number;
};

/** A request of which only the head has arrived. */
export type UnreadRequest = Omit<ProxiedRequest, "body">;

/** Status and headers of a server's response. */
export type ResponseHead = {
  readonly status: number;
  readonly headers: RawHeaders;
};

/** Receives the response to one request; `refuse`, `end` and `abort` are final. */
export type CallerSink = {
  start(head: ResponseHead): void;
  /** Returns whether the caller's connection takes more; otherwise its front end reports when it does again. */
  write(bytes: Uint8Array): boolean;
  end(): void;
  refuse(refusal: Refusal): void;
  /** Breaks off a response that has started behind the bytes written, so that it does not look complete. */
  abort(): void;
};

/** One attempt to have a server run a request. */
export type ServerRequest = {
  readonly request: ProxiedRequest;
  readonly server: BackendServer;
  /** Whether an earlier attempt of the request may have reached the server. */
  readonly isRepeated: boolean;
  /** Whether the server still accepts requests of this node; checked when the request starts on its connection. */
  readonly isAccepted: () => boolean;
  /** Time left for the server, in ms. */
  readonly timeLeft: Millis;
  /** Adapter version that must answer. */
  readonly adapterVersion: number | undefined;
  readonly priority: number | undefined;
  /** Organisation of the caller, which the server is told. */
  readonly organisation?: OrganisationName | undefined;
  /** Id of the event after which the stream resumes. */
  readonly resumeAfter: string | undefined;
};

/** Why an attempt brought no complete response. */
export type ServerFailure = {
  /**
   * `unreachable`: no connection. `left`: the server left, asked for a pause or
   * named a limit before the request was sent. `not-run`: the server states that it did not
   * run the request, or another server has its address. `misdirected`: as
   * `not-run`, because the server lacks the model, adapter or version.
   * `broken`: the connection ended or the response is invalid. `crossed`: the
   * response belongs to another request.
   */
  readonly kind:
    | "unreachable"
    | "left"
    | "not-run"
    | "misdirected"
    | "broken"
    | "crossed";
  readonly detail: string;
};

/** When the connection of an attempt was opened, and when the request was written to it. */
export type AttemptTimes = {
  readonly openedAt: Millis;
  readonly sentAt: Millis;
};

/** What tells that a response is complete: its length or last chunk, or no more than the end of its connection. */
export type ResponseEnd = "length" | "connection";

/** Receives the response to one attempt; `onEnd` and `onFailure` are final. */
export type ServerResponseSink = {
  onHead(head: ResponseHead, times: AttemptTimes): void;
  onBytes(bytes: Uint8Array): void;
  onEnd(by: ResponseEnd): void;
  onFailure(failure: ServerFailure): void;
};

/** Controls one attempt. */
export type ServerRequestControl = {
  /** Cancels the attempt and closes its connection; no sink call follows. */
  cancel(): void;
  /** Stops reading the response until `resume`, so that its server has to wait. */
  pause(): void;
  resume(): void;
};

/** What a server says about itself in the head of an answer. */
export type ServerNotice =
  | {
      /** The server wants nothing from this node for a time. */
      readonly kind: "pause";
      /** Retry-After header as received. */
      readonly retryAfter: string;
    }
  /** The server takes no new requests and stops once it has served the others. */
  | { readonly kind: "leaving" }
  /** The server limits the requests of all nodes; the value of the header as received. */
  | { readonly kind: "limit"; readonly value: string }
  /** The server falls over if it has to reject more requests a second; the value of the header as received. */
  | { readonly kind: "brittle"; readonly value: string }
  /** The server has served a request and does not say that it is brittle. */
  | { readonly kind: "sturdy" }
  /** The answer to a request that was sent at `sentAt` names no limit. */
  | { readonly kind: "no-limit"; readonly sentAt: Millis };

/** Delivers the notices of servers in the turn in which the head of the answer arrives. */
export type ServerNotices = {
  follow(listener: (server: BackendServer, notice: ServerNotice) => void): void;
};

/** Tries to open a connection to a server; resolves to whether it was opened. */
export type ProbeServer = (server: BackendServer) => Promise<boolean>;

/** Connections to backend servers. */
export type ServerLinks = {
  send(request: ServerRequest, sink: ServerResponseSink): ServerRequestControl;
  /** Closes the connections to a server that no longer exists. */
  disconnect(server: ServerId): void;
};

/** State that an engine reports on request; it may lag by a few hundred ms. */
export type EngineStatus = {
  readonly models: BackendServer["models"];
  /** Adapters that the engine is loading. */
  readonly incoming: readonly IncomingAdapter[];
  readonly busy: boolean;
  /** Number of orders that the engine had accepted. */
  readonly orderCount: number;
  /** Start of the incarnation that reports, in ms since the epoch, if it states it. */
  readonly born?: number | undefined;
};

/** Why there is no status of an engine. */
export type StatusFailure = {
  readonly detail: string;
  /** The server answered, but not with a status. */
  readonly hasAnswered?: boolean;
};

/** Sends orders and status requests to engines. */
export type EngineOrders = {
  /** Must write the order synchronously, before it returns its promise, or not at all. */
  order(
    server: BackendServer,
    order: EngineOrder,
    holder: { readonly machine: MachineName; readonly fence: FencingNumber },
  ): Promise<OrderAnswer>;
  fetchStatus(
    server: BackendServer,
  ): Promise<Either<StatusFailure, EngineStatus>>;
};

/** A newer version of an adapter that the operator declared. */
export type AdapterVersion = {
  readonly place: ModelAdapterKey;
  readonly version: number;
};

/** Where a change of a server's entry comes from, and how old it may be. */
export type EntryOrigin = {
  /** Version of the entry, or of the store when the entry was found missing. */
  readonly rowVersion: number;
  /** Node that passed the entry on; undefined if this node read it itself. */
  readonly source: MachineName | undefined;
  /** Upper bound of the time since the entry was written, in ms. */
  readonly maxAge: number;
};

/** What is known of the age of an operator's row. */
export type RowOrigin = {
  /** The row may come from the copy from which the table service was restored. */
  readonly isFromCopy?: boolean;
};

/** A change to the operator's configuration or to the registered servers. */
export type InstallationChange =
  | ({
      readonly type: "configuration";
      readonly value: GatewayConfiguration;
    } & RowOrigin)
  | ({
      readonly type: "adapter-version";
      readonly value: AdapterVersion;
    } & RowOrigin)
  | {
      readonly type: "server";
      readonly change: ServerChange;
      readonly origin: EntryOrigin;
    }
  /** All changes of a full read have been delivered. */
  | { readonly type: "complete"; readonly topic: "operator" | "servers" };

/** Delivers changes to the operator's configuration and to the registered servers. */
export type InstallationFeed = {
  /** Time at which the registered servers were last known to be complete. */
  viewTime(): Millis;
  follow(listener: (change: InstallationChange) => void): void;
  stop(): void;
};
