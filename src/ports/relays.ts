import type { Millis } from "../core/clock.ts";
import type {
  ProxiedRequest,
  ServerRequestControl,
  ServerResponseSink,
} from "./gateway.ts";

/** A request for another node to serve. */
export type RelayedRequest = {
  readonly request: ProxiedRequest;
  readonly timeLeft: Millis;
  /** Attempts so far that may have run the request. */
  readonly runs: number;
};

/** Passes requests on to other nodes, which serve them as their own. */
export type RelayLinks = {
  /** Fails as `not-run` if the other node refuses the request, as `unreachable` if it was not sent. */
  send(
    address: string,
    relayed: RelayedRequest,
    sink: ServerResponseSink,
  ): ServerRequestControl;
};

/** For nodes without others: each request fails as not sent. */
export const noRelays: RelayLinks = {
  send: (_address, _relayed, sink) => {
    const detail = "There is no other node";
    queueMicrotask(() => sink.onFailure({ kind: "unreachable", detail }));
    return { cancel() {}, pause() {}, resume() {} };
  },
};
