import type { Dispatcher } from "undici";
import {
  type Cancel,
  type Clock,
  type Millis,
  millis,
} from "../../core/clock.ts";
import type {
  EngineFailure,
  GenerateOrder,
  StreamControl,
  StreamSink,
} from "../../ports/engine.ts";
import type { Meter } from "../../ports/journal.ts";
import { EventSplitter } from "../http/event_splitter.ts";
import type { StreamHandler } from "../http/flow_handler.ts";
import type { ResponseFlow } from "../http/read_gate.ts";
import { classifyRefusal } from "./engine_refusal.ts";

/** Maximum length of a refusal body that is kept, in bytes. */
const maxRefusalBytes = 4096;

/** Options of an answer stream. */
export type EngineStreamOptions = {
  readonly order: GenerateOrder;
  readonly sink: StreamSink;
  readonly clock: Clock;
  /** Time without a byte after which the stream fails, in ms. */
  readonly inactivityTimeout: Millis;
  readonly meter: Meter;
  /** Called when the inactivity timeout has expired. */
  readonly onInactivity: () => void;
  /** Called when the engine has refused the order. */
  readonly onRefusal: () => void;
};

/** Handler of one answer stream; checks the request id, inactivity and the explicit end. */
export class EngineStream implements StreamHandler, StreamControl {
  readonly #options: EngineStreamOptions;
  readonly #clock: Clock;
  readonly #splitter = EventSplitter.create();
  #flow: ResponseFlow | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #cancelTimer: Cancel;
  #lastActivityAt: Millis;
  /** The first events name the adapter version of the order. */
  #adapterVerified = false;
  #paused = false;
  #ended = false;
  /** Status and body of a refusal. */
  #refusal: { status: number; text: string } | undefined;

  constructor(options: EngineStreamOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.#lastActivityAt = options.clock.now();
    this.#cancelTimer = this.#scheduleInactivityCheck(
      options.inactivityTimeout,
    );
  }

  static create(options: EngineStreamOptions): EngineStream {
    return new EngineStream(options);
  }

  cancel(): void {
    this.#ended = true;
    this.#cancelTimer();
    this.#controller?.abort(new Error("Cancelled"));
  }

  pause(): void {
    this.#paused = true;
    if (!this.#ended) this.#flow?.pause();
  }

  resume(): void {
    this.#paused = false;
    this.#lastActivityAt = this.#clock.now();
    this.#flow?.resume();
  }

  /** Called by undici synchronously before it writes the request. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#clock.now() >= this.#options.order.validUntil) {
      this.#fail("unreachable", "Order expired before it was sent");
    }
    if (this.#ended) {
      controller.abort(new Error("Stream ended before the request was sent"));
      return;
    }
    this.#controller = controller;
  }

  onFlow(flow: ResponseFlow): void {
    this.#flow = flow;
    if (this.#paused) flow.pause();
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this.#lastActivityAt = this.#clock.now();
    if (status < 200) return;
    if (headers["x-request-id"] !== this.#options.order.requestId) {
      this.#options.meter.count("engine_crossed_answers_total");
      this.#failAndAbort("broken", "The answer carries another request id");
    } else if (status !== 200) {
      this.#refusal = { status, text: "" };
      this.#options.onRefusal();
    }
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer) {
    this.#lastActivityAt = this.#clock.now();
    if (this.#ended) {
      this.#controller?.abort(new Error("Data after the end of the answer"));
      return;
    }
    if (this.#refusal !== undefined) {
      this.#refusal.text += chunk.toString();
      if (this.#refusal.text.length > maxRefusalBytes) this.#cutRefusal();
      return;
    }
    const events = this.#splitter.push(chunk);
    if (events === undefined) {
      this.#failAndAbort("broken", "An event exceeds the size limit");
      return;
    }
    const { sink, meter } = this.#options;
    if (events.count > 0 && !this.#adapterVerified) {
      if (!this.#namesAdapter(events.bytes)) {
        meter.count("engine_wrong_adapters_total");
        this.#failAndAbort("wrong-adapter", "The answer names another adapter");
        return;
      }
      this.#adapterVerified = true;
    }
    if (events.count > 0) sink.onChunk(events.bytes, events.count);
    const error = events.error ?? events.refusal;
    if (error !== undefined) {
      const text = error.toString("utf8", 0, maxRefusalBytes);
      this.#failAndAbort("broken", `The engine reported an error: ${text}`);
    }
    if (events.done && !this.#ended) {
      this.#ended = true;
      // The end of the body frees the connection.
      this.#flow?.resume();
      sink.onEnd();
    }
  }

  /** Whether the events name the adapter version of the order. */
  #namesAdapter(bytes: Buffer): boolean {
    return bytes.includes(
      `"model":${JSON.stringify(this.#options.order.adapter)}`,
    );
  }

  onResponseEnd(): void {
    if (this.#refusal !== undefined) {
      const { kind, detail } = classifyRefusal(this.#refusal);
      this.#fail(kind, detail);
    } else {
      this.#fail("broken", "The answer ended without [DONE]");
    }
    this.#cancelTimer();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error) {
    const sent = this.#controller !== undefined;
    this.#fail(sent ? "broken" : "unreachable", error.message);
    this.#cancelTimer();
  }

  /** Checks for inactivity after `delay` ms; time during which the reader is paused does not count. */
  #scheduleInactivityCheck(delay: Millis): Cancel {
    return this.#clock.schedule(delay, () => {
      const { inactivityTimeout } = this.#options;
      const idle = this.#paused ? 0 : this.#clock.now() - this.#lastActivityAt;
      if (idle >= inactivityTimeout) {
        const kind = this.#controller === undefined ? "unreachable" : "silent";
        this.#options.onInactivity();
        this.#failAndAbort(
          kind,
          `No data received for ${inactivityTimeout} ms`,
        );
      } else {
        this.#cancelTimer = this.#scheduleInactivityCheck(
          millis(inactivityTimeout - idle),
        );
      }
    });
  }

  /** Ends a refusal whose body is too long. */
  #cutRefusal(): void {
    const { status = 0, text = "" } = this.#refusal ?? {};
    const shortened = { status, text: text.slice(0, maxRefusalBytes) };
    const { kind, detail } = classifyRefusal(shortened);
    this.#failAndAbort(kind, detail);
  }

  #failAndAbort(kind: EngineFailure["kind"], detail: string): void {
    this.#fail(kind, detail);
    this.#controller?.abort(new Error(detail));
  }

  #fail(kind: EngineFailure["kind"], detail: string): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#options.sink.onFailure({ kind, detail });
  }
}
