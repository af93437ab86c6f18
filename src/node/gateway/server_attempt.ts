import type { GatewayRoute } from "../../core/gateway/configuration.ts";
import type { SendEnd } from "../../core/gateway/next_step.ts";
import {
  noteCallEnd,
  noteCallResult,
  noteCallStart,
} from "../../core/gateway/server_health.ts";
import type { StreamCursor } from "../../core/gateway/stream_cursor.ts";
import type {
  AnswerHead,
  CallerSink,
  SendControl,
  SendFailure,
  ServerOrder,
} from "../../ports/gateway.ts";
import type { GatewayContext } from "./context.ts";

/** Largest answer that is held back until it is whole, in bytes. */
const maxHeldBytes = 8 * 1024 * 1024;

/** How a send ended; `whole` means that the caller has everything. */
export type AttemptResult = {
  readonly end: SendEnd | { readonly kind: "whole" };
  readonly detail: string;
  /** The server's own failure, if it sent one. */
  readonly head: AnswerHead | undefined;
  readonly body: readonly Uint8Array[];
};

type ServerAttemptOptions = {
  readonly context: GatewayContext;
  readonly route: GatewayRoute;
  readonly order: ServerOrder;
  /** Present where a broken stream may go on elsewhere. */
  readonly cursor: StreamCursor | undefined;
  /** An earlier send has begun the answer. */
  readonly hasStarted: boolean;
  readonly sink: Pick<CallerSink, "start" | "write" | "end">;
  readonly onResult: (report: AttemptResult) => void;
};

/**
 * One send: streams pass through as they arrive, other answers are held until
 * they are whole, so that a broken one can be replaced.
 */
export class ServerAttempt {
  readonly #options: ServerAttemptOptions;
  readonly #held: Uint8Array[] = [];
  #heldBytes = 0;
  #head: AnswerHead | undefined;
  #passes = false;
  #control: SendControl | undefined;
  #ended = false;

  private constructor(options: ServerAttemptOptions) {
    this.#options = options;
  }

  static start(options: ServerAttemptOptions): ServerAttempt {
    const send = new ServerAttempt(options);
    const { context, order } = options;
    noteCallStart(context.health, order.server.id);
    send.#control = context.dependencies.links.send(order, {
      onHead: (head) => send.#onHead(head),
      onBytes: (bytes) => send.#onBytes(bytes),
      onEnd: () => send.#onEnd(),
      onFailure: (failure) => send.#onFailure(failure),
    });
    return send;
  }

  /** Ends the work at the server. */
  cancel(): void {
    if (this.#ended) return;
    this.#end();
    this.#control?.cancel();
  }

  #onHead(head: AnswerHead): void {
    this.#head = head;
    const { route, hasStarted, sink } = this.#options;
    this.#passes = route.repeat === "stream" && isSuccess(head.status);
    if (this.#passes && !hasStarted) sink.start(head);
  }

  #onBytes(bytes: Uint8Array): void {
    if (this.#ended) return;
    if (!this.#passes) {
      this.#heldBytes += bytes.length;
      this.#held.push(bytes);
      if (this.#heldBytes > maxHeldBytes) this.#fail("The answer is too large");
      return;
    }
    const { cursor, sink } = this.#options;
    if (cursor === undefined) return sink.write(bytes);
    const whole = cursor.push(bytes);
    if (whole === undefined) this.#fail("An event of the stream is too large");
    else if (whole.bytes.length > 0) sink.write(whole.bytes);
  }

  #onEnd(): void {
    if (this.#ended) return;
    const { cursor, sink } = this.#options;
    const head = this.#head as AnswerHead;
    if (this.#passes) {
      if (cursor !== undefined && cursor.openBytes > 0) {
        return this.#fail("The stream ended within an event");
      }
      sink.end();
      return this.#report({ kind: "whole" }, "");
    }
    if (head.status >= 500) {
      return this.#report({ kind: "server-error" }, `Status ${head.status}`);
    }
    // A stream that has begun cannot turn into another answer.
    if (this.#options.hasStarted) {
      return this.#report({ kind: "broken" }, `Status ${head.status}`);
    }
    sink.start(head);
    for (const bytes of this.#held) sink.write(bytes);
    sink.end();
    this.#report({ kind: "whole" }, "");
  }

  #onFailure({ kind, detail }: SendFailure): void {
    if (this.#ended) return;
    this.#options.cursor?.dropOpenEvent();
    this.#report({ kind }, detail);
  }

  #fail(detail: string): void {
    this.#control?.cancel();
    this.#onFailure({ kind: "broken", detail });
  }

  #report(end: AttemptResult["end"], detail: string): void {
    this.#end();
    const { context, order, onResult: onReport } = this.#options;
    context.dependencies.meter.count("gateway_sends_total", {
      result: end.kind,
    });
    if (end.kind === "whole") {
      const now = context.now();
      const { id } = order.server;
      noteCallResult(context.health, id, { result: "good", now });
    }
    onReport({ end, detail, head: this.#head, body: this.#held });
  }

  #end(): void {
    this.#ended = true;
    const { context, order } = this.#options;
    noteCallEnd(context.health, order.server.id);
  }
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
