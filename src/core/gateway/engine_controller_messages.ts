import type { Millis } from "../clock.ts";
import type {
  AdapterName,
  MachineName,
  ModelAdapterKey,
  ModelName,
} from "../ids.ts";
import type { EngineTraits } from "./configuration.ts";
import type {
  EngineContents,
  EvictionPolicy,
  IncomingAdapter,
} from "./engine_contents.ts";
import type { EngineOrder, OrderAnswer } from "./orders.ts";
import type { BackendServer } from "./servers.ts";

/** Marks one request of a node for an adapter until it is answered. */
export type Ticket = number;

/** Nodes that wait until an adapter is on its way to the engine. */
export type PendingLoad = {
  readonly model: ModelName;
  readonly adapter: AdapterName;
  version: number;
  readonly since: Millis;
  readonly tickets: Ticket[];
};

/** State of the owner of one engine; owned by one actor and updated in place. */
export type EngineControllerState = {
  traits: EngineTraits;
  contents: EngineContents;
  readonly policies: EngineControllerPolicies;
  /** Orders that the engine has accepted; undefined until it has been asked. */
  orderCount: number | undefined;
  /** The order whose answer is awaited. */
  orderInFlight: EngineOrder | undefined;
  /** Orders for adapters that got no answer: one of them may still be carried out while the count stays. */
  readonly unansweredOrders: Map<ModelAdapterKey, EngineOrder>;
  /** Most orders that the engine is known to have accepted. */
  highestOrderCount: number;
  /** Reports in a row that did not show all accepted orders. */
  staleReports: number;
  isStatusRequested: boolean;
  statusRequestedAt: Millis;
  /** No order is sent before this time. */
  retryAt: Millis;
  mayOrder: boolean;
  /** Expected time of an adapter load from the weight store, in ms. */
  coldLoadTime: number;
  readonly waiting: Map<ModelAdapterKey, PendingLoad>;
};

/** Policies of an engine's owner. */
export type EngineControllerPolicies = {
  readonly chooseVictim: EvictionPolicy;
};

/** Message to the owner of one engine. */
export type EngineControllerEvent =
  | {
      readonly type: "acquire";
      readonly ticket: Ticket;
      readonly key: ModelAdapterKey;
      readonly model: ModelName;
      readonly adapter: AdapterName;
      readonly version: number;
      /** The engine has just answered that it does not hold the adapter. */
      readonly wasDenied: boolean;
      /** Longest wait until the load may begin, in ms. */
      readonly patience: number;
    }
  /** Adapters on which requests of a node ran lately, and that its requests wait for at the engine. */
  | {
      readonly type: "used";
      readonly node: MachineName;
      readonly ran: readonly ModelAdapterKey[];
      readonly queuedAdapters: readonly ModelAdapterKey[];
    }
  | {
      readonly type: "answered";
      readonly order: EngineOrder;
      readonly answer: OrderAnswer;
    }
  | {
      readonly type: "status";
      readonly status:
        | {
            readonly models: BackendServer["models"];
            readonly incoming: readonly IncomingAdapter[];
            readonly orderCount: number;
          }
        | undefined;
    }
  | { readonly type: "registered"; readonly models: BackendServer["models"] }
  | { readonly type: "tick"; readonly mayOrder: boolean };

/** Command of the owner of one engine. */
export type EngineControllerCommand =
  | { readonly type: "order"; readonly order: EngineOrder }
  | { readonly type: "ask-status" }
  | {
      readonly type: "reply";
      readonly ticket: Ticket;
      readonly reply:
        | { readonly kind: "ready"; readonly inMs: number }
        | {
            readonly kind: "refused";
            readonly reason: "full" | "cold" | "busy";
          };
    };
