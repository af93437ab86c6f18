import { connect } from "node:net";
import { FrontServer } from "../../platform/front_server.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import type { Gateway } from "../../src/node/gateway/gateway.ts";
import type { CallerSink, ProxiedRequest } from "../../src/ports/gateway.ts";

/** A request that the gateway of a test has got, and where its answer goes. */
export type Served = { request: ProxiedRequest; sink: CallerSink };

/** Starts a front server whose gateway passes its requests to the test. */
export async function openFront(serve: (served: Served) => void = () => {}) {
  const requests: ProxiedRequest[] = [];
  let cancelled = 0;
  const gateway = {
    context: {
      configuration: {
        limits: { maxBodyBytes: 100, idleTimeout: 5_000, headerTimeout: 1_000 },
      },
    },
    open(request: ProxiedRequest, sink: CallerSink) {
      requests.push(request);
      serve({ request, sink });
      return { cancel: () => cancelled++ };
    },
  } as unknown as Gateway;
  const front = FrontServer.create({ gateway, clock: RealClock.create() });
  const port = await front.listen("127.0.0.1:0");
  const countCancelled = () => cancelled;
  return { front, port, requests, countCancelled };
}

/** Serves a request at once. */
export function answer({ sink }: Served): void {
  sink.start({ status: 200, headers: ["Content-Length", "2"] });
  sink.write(new TextEncoder().encode("ok"));
  sink.end();
}

/** Sends raw bytes and returns everything received until the connection closes. */
export function exchangeRaw(port: number, text: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1", () => socket.write(text));
    let received = "";
    socket.on("data", (chunk) => {
      received += chunk;
    });
    socket.on("error", () => {});
    socket.on("close", () => resolve(received));
    setTimeout(() => socket.destroy(), 400);
  });
}

/** First lines of a request, and its id. */
export const head = "POST /b/x?y=1 HTTP/1.1\r\nHost: H.Example:80\r\n";
export const id = "Goldcrestwinch-Request-Id: r1\r\n";
/** A request without a body. */
export const request = `${head}${id}Content-Length: 0\r\n\r\n`;
