import { Agent, type Dispatcher } from "undici";
import { type Cancel, type Clock, millis } from "../../core/clock.ts";
import type { RequestId } from "../../core/ids.ts";
import { formatHybridTime } from "../../core/observe/hybrid_clock.ts";
import { type Refusal, refuse } from "../../core/results/refusal.ts";
import type { AnswerSink } from "../../ports/access.ts";
import type { StreamControl } from "../../ports/engine.ts";
import type { Meter } from "../../ports/journal.ts";
import type { PeerForwarder } from "../../ports/peers.ts";
import { createConnector } from "../http/connector.ts";
import { EventSplitter } from "../http/event_splitter.ts";
import { controlFlow, type StreamHandler } from "../http/flow_handler.ts";
import type { ResponseFlow } from "../http/read_gate.ts";
import type { Keyring } from "../keys/keyring.ts";
import type { Timeline } from "../observe/timeline.ts";
import { decodeRefusal, encodeForward, forwardPath } from "./forward_codec.ts";
import { signatureHeader, signMessage } from "./signature.ts";

/** Maximum number of connections to one peer; each carries one stream at a time. */
const maxConnectionsPerPeer = 1_024;
/** Timeout for opening a connection to a peer, in ms. */
const connectTimeout = millis(1_000);
/** Time without a byte after which a forwarded stream fails, in ms; owners send a heartbeat comment every second. */
const inactivityTimeoutMillis = 3_000;
/** Interval at which streams are checked for inactivity, in ms. */
const inactivityCheckMillis = 500;
/** Maximum size of an owner's refusal, in bytes; the rest is ignored. */
const maxRefusalBytes = 16 * 1024;

/** Options of {@link HttpForwarder}. */
export type ForwarderOptions = {
  readonly clock: Clock;
  readonly keyring: Keyring;
  readonly timeline: Timeline;
  readonly meter: Meter;
};

/** Forwards submissions to engine owners over HTTP streams; a stream without data or heartbeats fails. */
export class HttpForwarder implements PeerForwarder {
  readonly #options: ForwarderOptions;
  readonly #agent: Agent;
  readonly #streams = new Set<ForwardedStream>();
  #cancelCheck: Cancel | undefined;

  static create(options: ForwarderOptions): HttpForwarder {
    return new HttpForwarder(options);
  }

  private constructor(options: ForwarderOptions) {
    this.#options = options;
    this.#agent = new Agent({
      connections: maxConnectionsPerPeer,
      pipelining: 1,
      connect: createConnector({
        clock: options.clock,
        timeout: connectTimeout,
      }),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  forward(
    address: string,
    request: Parameters<PeerForwarder["forward"]>[1],
    sink: AnswerSink,
  ): StreamControl {
    const { clock, keyring, timeline, meter } = this.#options;
    const body = encodeForward(request, clock.now());
    const signature = signMessage(
      { method: "POST", path: forwardPath, body },
      { keyring, clock },
    );
    const stream = ForwardedStream.create({
      sink,
      clock,
      meter,
      requestId: request.submission.work.requestId,
      onClose: () => this.#streams.delete(stream),
    });
    this.#streams.add(stream);
    this.#scheduleCheck();
    this.#agent.dispatch(
      {
        origin: `http://${address}`,
        method: "POST",
        path: forwardPath,
        headers: {
          "content-type": "application/msgpack",
          [signatureHeader]: signature,
          "x-hybrid-time": formatHybridTime(timeline.stamp()),
        },
        body,
      },
      controlFlow(stream, () => {}),
    );
    return stream;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    this.#cancelCheck?.();
    await this.#agent.destroy();
  }

  #scheduleCheck(): void {
    if (this.#cancelCheck !== undefined) return;
    this.#cancelCheck = this.#options.clock.schedule(
      millis(inactivityCheckMillis),
      () => {
        this.#cancelCheck = undefined;
        const oldestAllowed =
          this.#options.clock.now() - inactivityTimeoutMillis;
        for (const stream of this.#streams)
          stream.failIfInactive(oldestAllowed);
        if (this.#streams.size > 0) this.#scheduleCheck();
      },
    );
  }
}

type StreamOptions = {
  readonly sink: AnswerSink;
  readonly clock: Clock;
  readonly meter: Meter;
  readonly requestId: RequestId;
  readonly onClose: () => void;
};

/** One forwarded stream: dispatch handler for undici and control for the caller. */
class ForwardedStream implements StreamHandler, StreamControl {
  readonly #options: StreamOptions;
  readonly #splitter = EventSplitter.create();
  #flow: ResponseFlow | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #status = 0;
  #refusal = "";
  #sent = false;
  #closed = false;
  #paused = false;
  #lastByteAt: number;

  static create(options: StreamOptions): ForwardedStream {
    return new ForwardedStream(options);
  }

  private constructor(options: StreamOptions) {
    this.#options = options;
    this.#lastByteAt = options.clock.now();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#closed) {
      controller.abort(new Error("The request was cancelled"));
      return;
    }
    this.#sent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this.#status = status;
    this.#lastByteAt = this.#options.clock.now();
    if (status < 200) return;
    const id = headers["x-request-id"];
    // A refusal has no id if the owner could not decode the message.
    const isCrossed =
      id === undefined ? status === 200 : id !== this.#options.requestId;
    if (isCrossed) {
      this.#options.meter.count("crossed_answers_total", { hop: "peer" });
      this.#fail(
        refuse("crossedAnswer", "The owner answered with another request id"),
      );
      controller.abort(new Error("The answer carries another request id"));
      return;
    }
  }

  onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#closed) return;
    this.#lastByteAt = this.#options.clock.now();
    if (this.#status !== 200) {
      if (this.#refusal.length < maxRefusalBytes) {
        this.#refusal += chunk.toString("utf8");
      }
      return;
    }
    const events = this.#splitter.push(chunk);
    if (events === undefined) {
      this.#fail(
        refuse(
          "peerLost",
          "The owner sent an event that exceeds the size limit",
        ),
      );
      return;
    }
    const { bytes, count, done, refusal, error } = events;
    if (count > 0) this.#options.sink.onChunk(bytes, count);
    if (done) this.#finish();
    else if (refusal !== undefined) this.#refuse(refusal.toString("utf8"));
    else if (error !== undefined)
      this.#fail(refuse("peerLost", "The owner forwarded an engine's error"));
  }

  onResponseEnd(): void {
    if (this.#closed) return;
    if (this.#status !== 200) {
      this.#refuse(this.#refusal);
      return;
    }
    this.#options.meter.count("broken_streams_total", { hop: "peer" });
    this.#fail(
      refuse("peerLost", "The owner ended the stream before its end marker"),
    );
  }

  onResponseError(_: Dispatcher.DispatchController, error: Error): void {
    this.#fail(
      refuse(
        "peerLost",
        `The connection to the owner failed: ${error.message}`,
        {
          outcome: this.#sent ? "may-have-run" : "not-run",
        },
      ),
    );
  }

  cancel(): void {
    if (this.#close()) this.#abort("The request was cancelled");
  }

  onFlow(flow: ResponseFlow): void {
    this.#flow = flow;
    if (this.#paused) flow.pause();
  }

  pause(): void {
    this.#paused = true;
    if (!this.#closed) this.#flow?.pause();
  }

  resume(): void {
    if (!this.#paused) return;
    this.#paused = false;
    this.#lastByteAt = this.#options.clock.now();
    this.#flow?.resume();
  }

  /** Fails the stream if its last byte arrived before `oldestAllowed`. */
  failIfInactive(oldestAllowed: number): void {
    if (this.#paused || this.#lastByteAt >= oldestAllowed) return;
    this.#fail(
      refuse(
        "peerLost",
        `The owner was silent for ${inactivityTimeoutMillis} ms`,
        {
          outcome: this.#sent ? "may-have-run" : "not-run",
        },
      ),
    );
  }

  #finish(): void {
    // The end of the body frees the connection.
    this.#flow?.resume();
    if (this.#close()) this.#options.sink.onEnd();
  }

  #refuse(content: string): void {
    const refusal = decodeRefusal(content);
    this.#fail(
      refusal ??
        refuse("peerLost", `The owner answered with status ${this.#status}`, {
          outcome: this.#status === 401 ? "not-run" : "may-have-run",
        }),
    );
  }

  #fail(refusal: Refusal): void {
    if (!this.#close()) return;
    if (this.#status === 0 || this.#status === 200) this.#abort(refusal.detail);
    this.#options.sink.onRefusal(refusal);
  }

  #abort(reason: string): void {
    this.#controller?.abort(new Error(reason));
  }

  /** Returns false if the stream was already closed. */
  #close(): boolean {
    if (this.#closed) return false;
    this.#closed = true;
    this.#options.onClose();
    return true;
  }
}
