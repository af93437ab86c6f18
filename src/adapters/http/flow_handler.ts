import type { Dispatcher } from "undici";
import { isEndOfCut } from "./connector.ts";
import { PieceJoiner } from "./piece_joiner.ts";
import { ReadGate, type ResponseFlow } from "./read_gate.ts";

/** Smallest and largest status of HTTP. */
const minStatus = 100;
const maxStatus = 599;

/** Handler that may pause the reading of its response. */
export type StreamHandler = Dispatcher.DispatchHandler & {
  /** Called before the head of the response. */
  onFlow?(flow: ResponseFlow): void;
};

/**
 * Handler for a connection of `createConnector`, which lets another one pause its
 * response; `onEnd` is called once undici has finished the call.
 */
export function controlFlow(
  handler: StreamHandler,
  onEnd: () => void,
): Dispatcher.DispatchHandler {
  let open = true;
  let gate: ReadGate | undefined;
  let body: PieceJoiner | undefined;
  const createFlow = (connection: ReadGate): ResponseFlow => ({
    openedAt: connection.openedAt,
    pause: () => {
      if (open) connection.close();
    },
    resume: () => {
      if (open) connection.open();
    },
  });
  const end = () => {
    if (!open) return;
    open = false;
    // The next response on the connection is not paused.
    gate?.open();
    onEnd();
  };
  return {
    onRequestStart: (controller, context) =>
      handler.onRequestStart?.(controller, context),
    onResponseStart: (controller, status, headers, message) => {
      if (gate === undefined) {
        gate = ReadGate.current;
        if (gate !== undefined) handler.onFlow?.(createFlow(gate));
      }
      if (status < minStatus || status > maxStatus)
        return controller.abort(new Error(`Status ${status} is not HTTP`));
      if (status >= 200) gate?.recordContent();
      handler.onResponseStart?.(controller, status, headers, message);
    },
    onResponseData: (controller, chunk) => {
      gate?.recordContent();
      body ??= PieceJoiner.create((bytes) =>
        handler.onResponseData?.(controller, bytes),
      );
      body.push(chunk);
    },
    onResponseEnd: (controller, trailers) => {
      body?.flush();
      end();
      if (isEndOfCut()) {
        const error = new Error("The connection was cut");
        return handler.onResponseError?.(controller, error);
      }
      handler.onResponseEnd?.(controller, trailers);
    },
    onResponseError: (controller, error) => {
      body?.flush();
      end();
      handler.onResponseError?.(controller, error);
    },
  };
}
