import type { Either, Maybe } from "purify-ts";
import type { Millis } from "../core/clock.ts";
import type { EngineId } from "../core/ids.ts";
import type {
  DraftHistory,
  DraftTarget,
} from "../core/requests/draft_messages.ts";
import type { Refusal } from "../core/results/refusal.ts";
import type { RouteChoice, RouteRequest } from "../core/routing/route.ts";
import type { EngineView } from "../core/routing/view.ts";
import type { AttemptObserver } from "../node/draft_request.ts";
import type { RoutedWork } from "../node/routing_manager.ts";
import type { Arrival } from "./workload.ts";

/** Routing policy of one simulated entry node; may keep state between calls. */
export type Router = {
  choose(
    request: RouteRequest,
    options: {
      readonly views: readonly EngineView[];
      readonly now: Millis;
      readonly random: () => number;
      readonly work: RoutedWork;
      readonly history: DraftHistory;
    },
  ): Either<Refusal, RouteChoice>;
  /** Chooses a second engine for a request that has had no token for `waited` ms. */
  hedge?(
    arrival: Arrival,
    options: {
      history: DraftHistory;
      waited: Millis;
      work: RoutedWork;
      views: readonly EngineView[];
    },
  ): Maybe<DraftTarget>;
  /** Creates an observer for the attempts of one request. */
  observe?(work: RoutedWork): AttemptObserver;
  /** Called when an attempt was sent to an engine. */
  onSubmit?(engine: EngineId): void;
  /** Called when an attempt received its first token after `elapsed` ms. */
  onFirstToken?(engine: EngineId, elapsed: number): void;
  /** Called when an attempt completed or was refused. */
  onEnd?(engine: EngineId, refusal: Refusal | undefined): void;
};
