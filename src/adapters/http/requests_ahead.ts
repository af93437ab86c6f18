import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type {
  BudgetShare,
  ByteBudget,
} from "../../core/gateway/byte_budget.ts";
import { onExchangeEnd } from "./exchange_end.ts";
import type { ReadPacer } from "./read_pacer.ts";

/** Maximum number of requests of one connection that are served at the same time. */
const maxServed = 8;
/** Maximum number of requests that are served beside an earlier one of their connection, over all connections. */
const maxServedAhead = 16;
/** Number of requests of one connection beyond which it is not read. */
const maxOpen = 16;
/** Memory that a request takes besides its body, in bytes. */
const requestBytes = 16 * 1024;

/** Requests of one connection whose answers have not been sent. */
type Pipeline = {
  open: number;
  served: number;
  /** Starts those that wait for their turn, in order. */
  readonly waiting: (() => void)[];
  share: BudgetShare | undefined;
};

/** Collaborators of {@link RequestsAhead}. */
export type RequestsAheadOptions = {
  readonly budget: ByteBudget;
  readonly pacer: ReadPacer;
  /** Called when a connection is closed for the requests that it has sent ahead. */
  readonly onCut: () => void;
};

/**
 * Limits the requests that callers send ahead of their answers. A connection with
 * many of them is not read; those that it has brought count in a budget, beyond
 * which the connection with the most of them is closed.
 */
export class RequestsAhead {
  readonly #options: RequestsAheadOptions;
  /** Number of requests that are served beside an earlier one of their connection. */
  #servedAhead = 0;
  readonly #pipelines = new WeakMap<Socket, Pipeline>();

  private constructor(options: RequestsAheadOptions) {
    this.#options = options;
  }

  static create(options: RequestsAheadOptions): RequestsAhead {
    return new RequestsAhead(options);
  }

  /** Counts a request; false if its connection has been closed. */
  admit(message: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = message;
    if (socket.destroyed) return false;
    const pipeline = this.#getOrCreate(socket);
    pipeline.open++;
    if (pipeline.open > 1) this.#count(socket, pipeline);
    if (pipeline.open > maxOpen) this.#options.pacer.hold(socket);
    onExchangeEnd(message, response, () => this.#end(socket, pipeline));
    return !socket.destroyed;
  }

  /** Starts a request when it is among the first of its connection. */
  start(
    message: IncomingMessage,
    response: ServerResponse,
    serve: () => void,
  ): void {
    const { socket } = message;
    const pipeline = this.#getOrCreate(socket);
    pipeline.waiting.push(() => {
      const isAhead = pipeline.served > 0;
      pipeline.served++;
      if (isAhead) this.#servedAhead++;
      onExchangeEnd(message, response, () => {
        pipeline.served--;
        if (isAhead) this.#servedAhead--;
        if (!socket.destroyed) this.#startNext(pipeline);
      });
      serve();
    });
    this.#startNext(pipeline);
  }

  #startNext(pipeline: Pipeline): void {
    const { served, waiting } = pipeline;
    const mayStart =
      served === 0 ||
      (served < maxServed && this.#servedAhead < maxServedAhead);
    if (mayStart) waiting.shift()?.();
  }

  #getOrCreate(socket: Socket): Pipeline {
    const known = this.#pipelines.get(socket);
    if (known !== undefined) return known;
    const pipeline: Pipeline = {
      open: 0,
      served: 0,
      waiting: [],
      share: undefined,
    };
    this.#pipelines.set(socket, pipeline);
    return pipeline;
  }

  #count(socket: Socket, pipeline: Pipeline): void {
    pipeline.share ??= this.#options.budget.open(() => {
      pipeline.waiting.length = 0;
      socket.destroy();
      this.#options.onCut();
    });
    pipeline.share.add(requestBytes);
  }

  #end(socket: Socket, pipeline: Pipeline): void {
    pipeline.open--;
    if (pipeline.open <= 1 || socket.destroyed) {
      pipeline.share?.release();
      pipeline.share = undefined;
    } else pipeline.share?.add(-requestBytes);
    if (pipeline.open === maxOpen) this.#options.pacer.release(socket);
  }
}
