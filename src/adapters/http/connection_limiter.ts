import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type Clock, type Millis, millis } from "../../core/clock.ts";
import { onExchangeEnd } from "./exchange_end.ts";

/** How long a new connection may bring no request before it makes room for another, in ms. */
const patience = millis(1_000);
/** How long a body may stop before it makes room if no other connection can, in ms. */
const shortPatience = millis(100);

/** Why a connection was closed. */
export type CloseReason = "silent" | "idle" | "body" | "full";

/** Options of {@link ConnectionLimiter}. */
export type ConnectionLimiterOptions = {
  /** Maximum number of open connections. */
  readonly limit: number;
  readonly clock: Clock;
  /** Refuses the request whose body has not progressed for the longest time, if that is this long. */
  readonly refuseStopped: (minQuiet: Millis) => boolean;
  readonly onClosed: (reason: CloseReason) => void;
};

/**
 * Limits the connections of callers. Beyond the limit a new connection takes the
 * place of one that serves nobody, so that ordinary callers still connect.
 */
export class ConnectionLimiter {
  readonly #options: ConnectionLimiterOptions;
  /** Connections that have brought no request, with the time they were opened, oldest first. */
  readonly #silent = new Map<Socket, Millis>();
  /** Connections between two requests, longest idle first. */
  readonly #idle = new Set<Socket>();
  /** Number of requests in progress on the other connections. */
  readonly #busy = new Map<Socket, number>();

  private constructor(server: Server, options: ConnectionLimiterOptions) {
    this.#options = options;
    server.on("connection", (socket: Socket) => this.#add(socket));
  }

  static create(
    server: Server,
    options: ConnectionLimiterOptions,
  ): ConnectionLimiter {
    return new ConnectionLimiter(server, options);
  }

  /** Number of open connections. */
  get size(): number {
    return this.#silent.size + this.#idle.size + this.#busy.size;
  }

  /** Records that a connection has brought a request. */
  recordRequest(message: IncomingMessage, response: ServerResponse): void {
    const { socket } = message;
    if (socket.destroyed) return;
    this.#silent.delete(socket);
    this.#idle.delete(socket);
    this.#busy.set(socket, (this.#busy.get(socket) ?? 0) + 1);
    onExchangeEnd(message, response, () => this.#recordEnd(socket));
  }

  #add(socket: Socket): void {
    if (this.size >= this.#options.limit && !this.#makeRoom()) {
      this.#options.onClosed("full");
      return void socket.destroy();
    }
    this.#silent.set(socket, this.#options.clock.now());
    socket.once("close", () => this.#remove(socket));
  }

  #recordEnd(socket: Socket): void {
    const others = (this.#busy.get(socket) ?? 0) - 1;
    if (others > 0) return void this.#busy.set(socket, others);
    this.#busy.delete(socket);
    if (!socket.destroyed) this.#idle.add(socket);
  }

  #remove(socket: Socket): void {
    this.#silent.delete(socket);
    this.#idle.delete(socket);
    this.#busy.delete(socket);
  }

  /** Closes the connection that is least likely to serve a caller; false if all are in use. */
  #makeRoom(): boolean {
    const { clock, refuseStopped, onClosed } = this.#options;
    const [oldest, openedAt] = this.#silent.entries().next().value ?? [];
    const isStale =
      openedAt !== undefined && clock.now() >= openedAt + patience;
    if (oldest !== undefined && isStale) return this.#close(oldest, "silent");
    const [idle] = this.#idle;
    if (idle !== undefined) return this.#close(idle, "idle");
    if (refuseStopped(patience)) {
      onClosed("body");
      return true;
    }
    if (oldest !== undefined) return this.#close(oldest, "silent");
    const hasRefused = refuseStopped(shortPatience);
    if (hasRefused) onClosed("body");
    return hasRefused;
  }

  #close(socket: Socket, reason: CloseReason): true {
    this.#remove(socket);
    socket.destroy();
    this.#options.onClosed(reason);
    return true;
  }
}
