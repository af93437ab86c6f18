import type { AdapterName, ModelName } from "../ids.ts";

/** Order to load or unload a base model or one of its adapters. */
export type EngineOrder = {
  readonly operation: "load" | "unload";
  readonly model: ModelName;
  /** Undefined for the base model itself. */
  readonly adapter: AdapterName | undefined;
  /** Version to load; undefined for the newest. */
  readonly version: number | undefined;
  /** Number of orders that the engine must have accepted before this one. */
  readonly expectedCount: number;
};

/**
 * Answer of an engine to an order. `accepted`: the order is carried out.
 * `done`: the requested state is already reached. `conflict`: another order is
 * in progress, or the count differs. `rejected`: the order is not carried out.
 * `lost`: no answer; the order may still be carried out, also later.
 * `unreachable`: the order was not sent.
 */
export type OrderAnswer =
  | { readonly kind: "accepted" | "done" | "lost" | "unreachable" }
  | { readonly kind: "conflict" | "rejected"; readonly detail: string };
