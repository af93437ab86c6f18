import { buildConnector } from "undici";
import type { Clock, Millis } from "../../core/clock.ts";
import { ReadGate } from "./read_gate.ts";

/** Options of {@link createConnector}. */
export type ConnectorOptions = {
  readonly clock: Clock;
  /** Timeout of a connection attempt, in ms. */
  readonly timeout: Millis;
  /** Called when a connection is closed because its bytes are no answer. */
  readonly onSkipped?: () => void;
};

/** Whether the connection whose end is being handled was cut: reset by the peer, or ended within a request. */
let endIsCut = false;

/**
 * Connects, and distinguishes cuts from regular ends. undici treats a response
 * without a length as complete when its connection is reset, and Node reports a
 * reset that arrives directly after data as an end. A write to such a connection
 * fails, which reveals the reset; while an earlier write is still waiting, a
 * reset cannot be told from an end.
 */
export function createConnector(
  options: ConnectorOptions,
): buildConnector.connector {
  const connectSocket = buildConnector({ timeout: options.timeout });
  return (target, callback) => {
    connectSocket(target, (...result) => {
      const [, socket] = result;
      socket?.on("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") error.code = "ERR_CONNECTION_RESET";
      });
      socket?.on("end", () => {
        const isWriting = socket.writableLength > 0;
        socket.write(" ");
        endIsCut = isWriting || socket.errored !== null;
        // undici handles the end synchronously, before the microtask runs.
        queueMicrotask(() => {
          endIsCut = false;
        });
      });
      if (socket !== null && socket !== undefined)
        ReadGate.create(socket, {
          openedAt: options.clock.now(),
          onSkipped: options.onSkipped ?? (() => {}),
        });
      callback(...result);
    });
  };
}

/** Whether the end of a connection that is being handled cuts its response off. */
export function isEndOfCut(): boolean {
  return endIsCut;
}
