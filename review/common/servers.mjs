// Stand-ins of sound servers, as PROTOCOL.md tells them.
import { randomBytes } from "node:crypto";
import { createServer } from "node:http";
import { host, sleep } from "./platform.mjs";

/** A server that registers itself in the store; `serve` answers its requests. */
export class Server {
  #options;
  #server;
  #timer;
  #heartbeat = 0;
  id = `i-${randomBytes(4).toString("hex")}`;
  born = Date.now();
  sequence = 0;

  static async start(options) {
    const server = new Server();
    server.#options = options;
    server.#server = createServer((request, response) => server.#receive(request, response));
    server.#server.keepAliveTimeout = 15_000;
    await new Promise((done) => server.#server.listen(0, host, done));
    server.address = `${host}:${server.#server.address().port}`;
    server.#register();
    server.#timer = setInterval(() => server.#register(), 1_200);
    return server;
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #register() {
    const { store, service, zone, slots = 6, models = [] } = this.#options;
    store.put("servers", this.id, {
      Service: service, Address: this.address, Zone: zone, Version: "v1", Slots: slots, State: "ready",
      ColdRemainingMs: 0, Stage: "both", Models: models, Sequence: this.sequence + this.#heartbeat++ * 0, born: this.born,
    });
  }

  #receive(request, response) {
    response.sendDate = false;
    const expected = request.headers["goldcrestwinch-expect-instance"];
    const id = request.headers["goldcrestwinch-request-id"];
    const chunks = [];
    request.on("error", () => {});
    response.on("error", () => {});
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      if (request.url === "/health")
        return response.writeHead(200, { "Goldcrestwinch-Instance-Id": this.id }).end();
      if (expected !== undefined && expected !== this.id)
        return response.writeHead(421, { "Goldcrestwinch-Instance-Id": this.id, ...(id ? { "Goldcrestwinch-Request-Id": id } : {}) }).end();
      if (request.url === "/report") return this.#report(response);
      if (request.url === "/order") return this.#order(JSON.parse(Buffer.concat(chunks)), response);
      if (id === undefined) return response.writeHead(400, { "Goldcrestwinch-Not-Executed": "1" }).end();
      this.#options.serve({ server: this, request, response, id, body: Buffer.concat(chunks) });
    });
  }

  #report(response) {
    const { models = [] } = this.#options;
    const report = { Stage: "both", Models: models, Busy: false, Sequence: this.sequence, Waiting: 0, Running: 0, KvUsed: 0, KvTotal: 150301, Handles: 0, Incoming: [] };
    response.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(report));
  }

  #order(order, response) {
    if (order.Expected !== undefined && order.Expected !== this.sequence) return response.writeHead(409).end("{}");
    this.sequence++;
    this.#options.onOrder?.(order, this);
    response.writeHead(202).end("{}");
  }
}

/** Head fields of a whole answer. */
export function sealed(id, more = {}) {
  return { "Goldcrestwinch-Request-Id": id, "Goldcrestwinch-Server-Seal": `3e1b.07.${randomBytes(4).toString("hex")}`, ...more };
}

/** Sends a stream of events, one every `gap` ms. */
export async function sendEvents(response, { count, gap }) {
  for (let at = 1; at <= count; at++) {
    if (response.destroyed) return false;
    response.write(`id: ${at}\ndata: piece ${at} of ${count}\n\n`);
    await sleep(gap);
  }
  response.end();
  return true;
}
