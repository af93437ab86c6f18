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
import type { EngineModel } from "./engine_model.ts";
import { type HostCall, HttpHost, sendJson } from "./http_host.ts";

/** Time without a token after which a comment line is sent. */
const heartbeat = millis(1000);
/** Age that the metrics may have, in ms. */
const metricsLag = 1000;
const never = millis(Number.POSITIVE_INFINITY);
const statusOf: Readonly<Record<EngineFailure["kind"], number>> = {
  refused: 503,
  "stale-fence": 409,
  "adapter-missing": 404,
  leaving: 410,
  unreachable: 0,
  broken: 0,
  silent: 0,
  "wrong-adapter": 0,
};

/** Model engine behind HTTP. */
export class EngineServer {
  readonly #model: EngineModel;
  readonly #clock: Clock;
  #metrics = { at: Number.NEGATIVE_INFINITY, text: "" };

  constructor(model: EngineModel, clock: Clock) {
    this.#model = model;
    this.#clock = clock;
  }

  /** Listens on loopback; the host has the switches for broken connections. */
  static create(
    model: EngineModel,
    { clock, port = 0 }: { clock: Clock; port?: number },
  ): Promise<HttpHost> {
    const server = new EngineServer(model, clock);
    return HttpHost.create((call) => void server.#handle(call), { port });
  }

  async #handle(call: HostCall): Promise<void> {
    const { response, path } = call;
    if (path === "/health") sendJson(response, {});
    else if (path === "/running") sendResult(call, await this.#model.report());
    else if (path === "/metrics") response.end(await this.#renderMetrics());
    else if (path.endsWith("load_lora_adapter")) await this.#runOrder(call);
    else if (path.endsWith("/completions")) this.#generate(call);
    else sendJson(response, { status: 404 });
  }

  async #runOrder(call: HostCall): Promise<void> {
    const beat = setInterval(() => call.response.writeProcessing(), heartbeat);
    const { lora_name } = JSON.parse(call.body.toString());
    const order = readOrder(call, lora_name);
    const result = call.path.includes("unload")
      ? await this.#model.unload(order)
      : await this.#model.load(order);
    clearInterval(beat);
    sendResult(call, result);
  }

  #generate(call: HostCall): void {
    const { response, request, body } = call;
    const header = (name: string) => String(request.headers[name] ?? "");
    const order: GenerateOrder = {
      ...readOrder(call, JSON.parse(body.toString()).model),
      requestId: brandString<RequestId>(header("x-request-id")),
      path: call.path as GenerateOrder["path"],
      body,
      priority: (header("x-priority") || "normal") as Priority,
      resumeAt: Number(header("x-resume-at")),
    };
    response.setHeader("x-request-id", order.requestId);
    response.setHeader("content-type", "text/event-stream");
    const beat = setInterval(() => response.write(": waiting\n\n"), heartbeat);
    const control = this.#model.generate(order, {
      onChunk: (bytes) => {
        beat.refresh();
        response.write(bytes);
      },
      onEnd: () => {
        clearInterval(beat);
        response.end("data: [DONE]\n\n");
      },
      onFailure: (failure) => {
        clearInterval(beat);
        sendFailure(call, failure);
      },
    });
    response.on("close", () => {
      clearInterval(beat);
      control.cancel();
    });
  }

  async #renderMetrics(): Promise<string> {
    const now = this.#clock.now();
    if (now >= this.#metrics.at + metricsLag) {
      const report = (await this.#model.report()).toMaybe().extractNullable();
      const running = (report?.running.length ?? 0) - (report?.waiting ?? 0);
      const text = `requests_running ${running}\nrequests_waiting ${report?.waiting ?? 0}\n`;
      this.#metrics = { at: now, text };
    }
    return this.#metrics.text;
  }
}

function readOrder(call: HostCall, adapter: string): AdapterOrder {
  const fence = Number(call.request.headers["x-fencing-number"] ?? 0);
  return {
    adapter: brandString<AdapterKey>(adapter),
    fence: brandNumber<FencingNumber>(fence),
    validUntil: never,
  };
}

function sendResult(
  call: HostCall,
  result: Either<EngineFailure, unknown>,
): void {
  result.caseOf({
    Left: (failure) => sendFailure(call, failure),
    Right: (value) => sendJson(call.response, { value }),
  });
}

/** Breaks the connection where the failure has no status. */
function sendFailure({ response }: HostCall, failure: EngineFailure): void {
  const status = statusOf[failure.kind];
  if (status === 0 || response.headersSent) response.destroy();
  else sendJson(response, { status, value: failure });
}
