// Stand-in for a server of a service (PROTOCOL.md, "Servers"), and the operator's configuration.
import { createServer } from "node:http";
import { randomBytes } from "node:crypto";

let seals = 0;

export class Server {
  runs = [];
  /** Hook: (request, body, response, server) => true if it has answered. */
  handle = () => false;
  workMs = 20;

  static async open({ id = `i-${randomBytes(5).toString("hex")}`, host = "127.0.0.1", service = "booking-app", record, zone = "tatry-a" } = {}) {
    const server = new Server();
    Object.assign(server, { id, service, record, zone, born: Date.now(), state: "ready", sequence: 0 });
    server.http = createServer((request, response) => {
      const parts = [];
      request.on("data", (chunk) => parts.push(chunk));
      request.on("end", () => server.answer(request, Buffer.concat(parts), response));
      request.on("error", () => {});
    });
    server.http.keepAliveTimeout = 5_000;
    await new Promise((done) => server.http.listen(0, host, done));
    server.address = `${host}:${server.http.address().port}`;
    return server;
  }

  entry() {
    this.sequence++;
    return {
      Service: this.service, Address: this.address, Zone: this.zone, Version: "v1", Slots: 6,
      State: this.state, ColdRemainingMs: 0, Sequence: this.sequence, born: this.born,
    };
  }

  /** Writes the entry to the store now and about every 1,200 ms. */
  register(store) {
    const write = () => store.put("servers", this.id, this.entry());
    write();
    this.timer = setInterval(write, 1_200);
    return this;
  }

  answer(request, body, response) {
    const id = request.headers["goldcrestwinch-request-id"];
    if (request.url === "/health" && id === undefined) {
      response.writeHead(200, { "goldcrestwinch-instance-id": this.id }).end();
      return;
    }
    const expected = request.headers["goldcrestwinch-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "goldcrestwinch-instance-id": this.id, ...(id && { "goldcrestwinch-request-id": id }) }).end();
      return;
    }
    if (id === undefined) return void response.writeHead(400, { "goldcrestwinch-not-executed": "1" }).end();
    const run = { id, method: request.method, path: request.url, body, at: performance.now(), headers: request.headers };
    this.runs.push(run);
    this.record?.write(`server ${this.id} runs ${id} ${request.method} ${request.url} (${body.length} bytes)`);
    if (this.handle(request, body, response, this)) return;
    setTimeout(() => this.reply(request, response, "x".repeat(200)), this.workMs);
  }

  seal() {
    return `3e1b.07.${(++seals).toString(16)}.600.0.c9f2a4d1`;
  }

  reply(request, response, text) {
    response.writeHead(200, {
      "goldcrestwinch-request-id": request.headers["goldcrestwinch-request-id"],
      "goldcrestwinch-server-seal": this.seal(),
      "content-type": "text/plain",
      "content-length": Buffer.byteLength(text),
    });
    response.end(text);
  }

  close() {
    clearInterval(this.timer);
    this.http.close();
    this.http.closeAllConnections();
  }
}

/** A configuration with the routes of a small deployment. */
export function configuration({ limits = {}, routes = [], timeoutMs = 3000 } = {}) {
  const base = { Host: "desk.example", TimeoutMs: timeoutMs, TargetLatencyMs: 200, Priority: 2, MaxAttempts: 1 };
  return {
    Version: 7,
    Routes: [
      { ...base, Name: "r1", Prefix: "/reserve/", Kind: "unsafe", Service: "booking-app" },
      { ...base, Name: "r2", Prefix: "/stock/", Kind: "safe", Service: "booking-app", MaxAttempts: 2 },
      ...routes,
    ],
    Services: [{ Name: "booking-app", HealthPath: "/health", MaxConnections: 110 }],
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: timeoutMs, IdleTimeoutMs: 15000, ...limits },
  };
}
