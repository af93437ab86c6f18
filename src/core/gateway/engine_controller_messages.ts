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
import type { LoadTurn, LoadUrgency } from "./load_urgency.ts";
import type { FleetView, ModelChange, ModelDemand } from "./model_placement.ts";
import type { EngineOrder, OrderAnswer } from "./orders.ts";
import type { BackendServer } from "./servers.ts";

/** Identifies a node's request for an adapter until it is answered. */
export type Ticket = number;

/** Requests that wait until the load of an adapter is accepted. */
export type PendingLoad = {
  readonly model: ModelName;
  readonly adapter: AdapterName;
  version: number;
  readonly since: Millis;
  /** Place among the pending loads, by the most urgent request. */
  turn: LoadTurn;
  readonly tickets: Ticket[];
};

/** State of the controller of one engine; owned by one actor and updated in place. */
export type EngineControllerState = {
  traits: EngineTraits;
  contents: EngineContents;
  readonly policies: EngineControllerPolicies;
  /** Number of orders that the engine has accepted; undefined until a status report shows it. */
  orderCount: number | undefined;
  /** Order whose answer is pending. */
  orderInFlight: EngineOrder | undefined;
  /** Orders for adapters without an answer; one of them may still be carried out while the order count is unchanged. */
  readonly unansweredOrders: Map<ModelAdapterKey, EngineOrder>;
  /** Highest number of orders that the engine is known to have accepted. */
  highestOrderCount: number;
  /** Consecutive reports that did not reflect all accepted orders. */
  staleReports: number;
  isStatusRequested: boolean;
  statusRequestedAt: Millis;
  /** Earliest time of the next order. */
  retryAt: Millis;
  mayOrder: boolean;
  /** Expected time of the next adapter load from the weight store, in ms. */
  coldLoadTime: number;
  /** Time that a load takes without contention, as far as the engine has shown, in ms. */
  usualLoadTime: number;
  readonly waiting: Map<ModelAdapterKey, PendingLoad>;
  readonly modelDemand: ModelDemand;
  /** Model whose load order got no answer, while it may still be carried out. */
  unansweredModel: EngineOrder | undefined;
  /** Change of the base models under way. */
  modelChange: ModelChange | undefined;
  fleet: FleetView;
};

/** Policies of an engine's controller. */
export type EngineControllerPolicies = {
  readonly chooseVictim: EvictionPolicy;
};

/** Event that the controller of one engine handles. */
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
      /** Maximum wait until the load begins, in ms. */
      readonly patience: number;
      readonly urgency: LoadUrgency;
    }
  /** Requests for a base model that no engine can serve in time. */
  | {
      readonly type: "model-wanted";
      readonly ticket: Ticket;
      readonly model: ModelName;
      readonly requests: number;
    }
  /** Adapters on which requests of a node ran since its last report, and those of its queued requests. */
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
            /** The engine carries out an order. */
            readonly busy: boolean;
            readonly orderCount: number;
          }
        | undefined;
    }
  | { readonly type: "registered"; readonly models: BackendServer["models"] }
  | {
      readonly type: "tick";
      readonly mayOrder: boolean;
      readonly fleet: FleetView;
    };

/** Command that the actor of an engine's controller carries out. */
export type EngineControllerCommand =
  | { readonly type: "order"; readonly order: EngineOrder }
  | { readonly type: "request-status" }
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
