import type { Either } from "purify-ts";
import { type Clock, millis } from "../core/clock.ts";
import type { Priority } from "../core/engine/work_item.ts";
import {
  type AdapterKey,
  brandNumber,
  brandString,
  type FencingNumber,
  type RequestId,
} from "../core/ids.ts";
import type {
  AdapterOrder,
  EngineFailure,
  GenerateOrder,
} from "../ports/engine.ts";
import type { EngineSimulator } from "./engine_simulator.ts";
import { type HttpExchange, HttpHost, sendJson } from "./http_host.ts";

/** Time without a token after which a comment line keeps the stream alive. */
const heartbeatInterval = millis(1000);
/** Maximum age of the metrics, in ms. */
const metricsMaxAge = 1000;
const noExpiry = millis(Number.POSITIVE_INFINITY);
const failureStatus: Readonly<Record<EngineFailure["kind"], number>> = {
  refused: 503,
  "stale-fence": 409,
  "adapter-missing": 404,
  leaving: 410,
  unreachable: 0,
  broken: 0,
  silent: 0,
  "wrong-adapter": 0,
};

/** Serves an engine simulator over HTTP. */
export class EngineServer {
  readonly #simulator: EngineSimulator;
  readonly #clock: Clock;
  #metrics = { at: Number.NEGATIVE_INFINITY, text: "" };

  constructor(simulator: EngineSimulator, clock: Clock) {
    this.#simulator = simulator;
    this.#clock = clock;
  }

  /** Listens on loopback; the host can break or silence its connections. */
  static create(
    simulator: EngineSimulator,
    { clock, port = 0 }: { clock: Clock; port?: number },
  ): Promise<HttpHost> {
    const server = new EngineServer(simulator, clock);
    return HttpHost.create((exchange) => void server.#handle(exchange), {
      port,
    });
  }

  async #handle(exchange: HttpExchange): Promise<void> {
    const { response, path } = exchange;
    if (path === "/health") sendJson(response, {});
    else if (path === "/running")
      sendResult(exchange, await this.#simulator.report());
    else if (path === "/metrics") response.end(await this.#renderMetrics());
    else if (path.endsWith("load_lora_adapter")) await this.#runOrder(exchange);
    else if (path.endsWith("/completions")) this.#generate(exchange);
    else sendJson(response, { status: 404 });
  }

  async #runOrder(exchange: HttpExchange): Promise<void> {
    const { request, response } = exchange;
    const id = request.headers["x-request-id"];
    if (id !== undefined) response.setHeader("x-request-id", id);
    const heartbeat = setInterval(
      () => response.writeProcessing(),
      heartbeatInterval,
    );
    const { lora_name } = JSON.parse(exchange.body.toString());
    const order = parseOrder(exchange, lora_name);
    const result = exchange.path.includes("unload")
      ? await this.#simulator.unload(order)
      : await this.#simulator.load(order);
    clearInterval(heartbeat);
    sendResult(exchange, result);
  }

  #generate(exchange: HttpExchange): void {
    const { response, request, body } = exchange;
    const header = (name: string) => String(request.headers[name] ?? "");
    const order: GenerateOrder = {
      ...parseOrder(exchange, JSON.parse(body.toString()).model),
      requestId: brandString<RequestId>(header("x-request-id")),
      path: exchange.path as GenerateOrder["path"],
      body,
      priority: (header("x-priority") || "normal") as Priority,
      resumeAt: Number(header("x-resume-at")),
    };
    response.setHeader("x-request-id", order.requestId);
    response.setHeader("content-type", "text/event-stream");
    const heartbeat = setInterval(
      () => response.write(": waiting\n\n"),
      heartbeatInterval,
    );
    const control = this.#simulator.generate(order, {
      onChunk: (bytes) => {
        heartbeat.refresh();
        response.write(bytes);
      },
      onEnd: () => {
        clearInterval(heartbeat);
        response.end("data: [DONE]\n\n");
      },
      onFailure: (failure) => {
        clearInterval(heartbeat);
        sendFailure(exchange, failure);
      },
    });
    response.on("close", () => {
      clearInterval(heartbeat);
      control.cancel();
    });
  }

  async #renderMetrics(): Promise<string> {
    const now = this.#clock.now();
    if (now >= this.#metrics.at + metricsMaxAge) {
      const report = (await this.#simulator.report())
        .toMaybe()
        .extractNullable();
      const running = (report?.running.length ?? 0) - (report?.waiting ?? 0);
      const text = `requests_running ${running}\nrequests_waiting ${report?.waiting ?? 0}\n`;
      this.#metrics = { at: now, text };
    }
    return this.#metrics.text;
  }
}

function parseOrder(exchange: HttpExchange, adapter: string): AdapterOrder {
  const fence = Number(exchange.request.headers["x-fencing-number"] ?? 0);
  return {
    adapter: brandString<AdapterKey>(adapter),
    fence: brandNumber<FencingNumber>(fence),
    validUntil: noExpiry,
  };
}

function sendResult(
  exchange: HttpExchange,
  result: Either<EngineFailure, unknown>,
): void {
  result.caseOf({
    Left: (failure) => sendFailure(exchange, failure),
    Right: (value) => sendJson(exchange.response, { value }),
  });
}

/** Breaks the connection if the failure has no status or the response has begun. */
function sendFailure({ response }: HttpExchange, failure: EngineFailure): void {
  const status = failureStatus[failure.kind];
  if (status === 0 || response.headersSent) response.destroy();
  else sendJson(response, { status, value: failure });
}
