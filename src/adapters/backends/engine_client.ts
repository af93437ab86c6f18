import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import { type Clock, type Millis, millis } from "../../core/clock.ts";
import type { AdapterKey, RequestId } from "../../core/ids.ts";
import type {
  AdapterOrder,
  EngineFailure,
  EngineLink,
  EngineReport,
  GenerateOrder,
  StreamControl,
  StreamSink,
} from "../../ports/engine.ts";
import { type Meter, silentMeter } from "../../ports/journal.ts";
import { Endpoint } from "../http/endpoint.ts";
import type { ExchangeFailure } from "../http/exchange.ts";
import { classifyRefusal } from "./engine_refusal.ts";
import { EngineStream } from "./engine_stream.ts";

/** Timeout of a load or unload, in ms; the return of load permits relies on it (design 5.4). */
const loadTimeout = millis(10_000);
/** Timeout of a report, in ms (design 5.14). */
const reportTimeout = millis(500);
/** Time without a byte after which a call fails, in ms; tolerates two late keep-alive comments, of which the engine writes one a second. */
const defaultInactivityTimeout = millis(3000);
/** Maximum number of refused requests whose ids are kept. */
const maxRefusedIds = 1_024;
/** Maximum number of loads, evictions and reports in flight. */
const controlConnections = 16;

/** Address, connection limit and timeouts of an engine client. */
export type EngineClientOptions = {
  /** `http://HOST:PORT`. */
  readonly origin: string;
  readonly clock: Clock;
  /** Maximum number of open streams. */
  readonly streams: number;
  readonly meter?: Meter;
  /** Time without a byte after which a call fails, in ms. */
  readonly inactivityTimeout?: Millis;
};

const reportSchema = z.object({
  boot: z.string(),
  loaded: z.array(z.string()),
  running: z.array(z.string()),
  waiting: z.number(),
  leaving: z.boolean(),
  fence: z.number(),
});

/** Client of a model engine over HTTP. Orders and reports do not share connections with streams. */
export class EngineClient implements EngineLink {
  readonly #options: EngineClientOptions;
  readonly #streams: Endpoint;
  readonly #control: Endpoint;
  readonly #meter: Meter;
  readonly #inactivityTimeout: Millis;
  /** Latest requests that the engine has refused. */
  readonly #refused = new Set<RequestId>();
  /** Number of loads and unloads so far. */
  #orders = 0;

  constructor(options: EngineClientOptions) {
    const { origin, clock, meter = silentMeter } = options;
    const shared = { origin, clock, meter };
    this.#options = options;
    this.#meter = meter;
    this.#inactivityTimeout =
      options.inactivityTimeout ?? defaultInactivityTimeout;
    this.#streams = Endpoint.create({
      ...shared,
      connections: options.streams,
      name: "engine-streams",
    });
    this.#control = Endpoint.create({
      ...shared,
      connections: controlConnections,
      name: "engine-control",
    });
  }

  static create(options: EngineClientOptions): EngineClient {
    return new EngineClient(options);
  }

  generate(order: GenerateOrder, sink: StreamSink): StreamControl {
    const body = buildRequestBody(order);
    const { clock } = this.#options;
    if (body === undefined) {
      return refuseAsync(sink, "Request body is not a JSON object");
    }
    const stream = EngineStream.create({
      order,
      sink,
      clock,
      meter: this.#meter,
      inactivityTimeout: this.#inactivityTimeout,
      onInactivity: () => this.#streams.replaceConnections(),
      onRefusal: () => this.#recordRefused(order.requestId),
    });
    const headers = {
      "content-type": "application/json",
      "x-request-id": order.requestId,
      "x-fencing-number": String(order.fence),
      "x-priority": order.priority,
      "x-resume-at": String(order.resumeAt),
    };
    const request = {
      method: "POST",
      path: order.path,
      headers,
      body,
    } as const;
    // The id does not tell the refusal of an earlier attempt from that of this one.
    const isSent = this.#refused.has(order.requestId)
      ? this.#streams.streamOnNewConnection(request, stream)
      : this.#streams.stream(request, stream);
    if (isSent) return stream;
    stream.cancel();
    return refuseAsync(sink, "All connections to the engine are in use");
  }

  load(order: AdapterOrder): Promise<Either<EngineFailure, void>> {
    return this.#sendAdapterOrder("/v1/load_lora_adapter", order);
  }

  unload(order: AdapterOrder): Promise<Either<EngineFailure, void>> {
    return this.#sendAdapterOrder("/v1/unload_lora_adapter", order);
  }

  async report(): Promise<Either<EngineFailure, EngineReport>> {
    const result = await this.#control.exchangeOnNewConnection({
      method: "GET",
      path: "/running",
      timeout: reportTimeout,
    });
    return result.mapLeft(toEngineFailure).chain(({ status, body }) => {
      const text = body.toString();
      return status === 200
        ? parseReport(text)
        : Left(classifyRefusal({ status, text }));
    });
  }

  /** Closes all connections; calls in flight fail. */
  async close(): Promise<void> {
    await Promise.all([this.#streams.close(), this.#control.close()]);
  }

  #recordRefused(id: RequestId): void {
    this.#refused.add(id);
    if (this.#refused.size <= maxRefusedIds) return;
    const [oldest] = this.#refused;
    this.#refused.delete(oldest as RequestId);
  }

  async #sendAdapterOrder(
    path: string,
    order: AdapterOrder,
  ): Promise<Either<EngineFailure, void>> {
    const orderId = `order-${++this.#orders}`;
    const result = await this.#control.exchange({
      method: "POST",
      path,
      headers: {
        "content-type": "application/json",
        "x-request-id": orderId,
        "x-fencing-number": String(order.fence),
      },
      body: JSON.stringify({ lora_name: order.adapter }),
      timeout: loadTimeout,
      inactivityTimeout: this.#inactivityTimeout,
      validUntil: order.validUntil,
      isAnswer: ({ "x-request-id": echoed = orderId }) => echoed === orderId,
    });
    return result
      .mapLeft(toEngineFailure)
      .chain(({ status, body }) =>
        status === 200
          ? Right(undefined)
          : Left(classifyRefusal({ status, text: body.toString() })),
      );
  }
}

/** Overrides the adapter and streaming fields of the caller's body; undefined if it is not a JSON object. */
function buildRequestBody(order: GenerateOrder): string | undefined {
  try {
    const fields: unknown = JSON.parse(Buffer.from(order.body).toString());
    if (typeof fields !== "object" || fields === null) return undefined;
    return JSON.stringify({ ...fields, model: order.adapter, stream: true });
  } catch {
    return undefined;
  }
}

/** Reports a refusal to the sink after the current call has returned. */
function refuseAsync(sink: StreamSink, detail: string): StreamControl {
  let open = true;
  queueMicrotask(() => {
    if (open) sink.onFailure({ kind: "refused", detail });
  });
  return {
    cancel() {
      open = false;
    },
    pause() {},
    resume() {},
  };
}

function toEngineFailure({ kind, detail }: ExchangeFailure): EngineFailure {
  const kinds = {
    "not-sent": "unreachable",
    broken: "broken",
    timeout: "silent",
  } as const;
  return { kind: kinds[kind], detail };
}

function parseReport(text: string): Either<EngineFailure, EngineReport> {
  try {
    const { loaded, running, ...fields } = reportSchema.parse(JSON.parse(text));
    return Right({
      ...fields,
      loaded: loaded as AdapterKey[],
      running: running as RequestId[],
    });
  } catch (error) {
    const detail = `Invalid engine report: ${error}`;
    return Left({ kind: "broken", detail });
  }
}
