// Stand-ins and helpers for the cases of this review. Only Node's own modules.
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const host = "127.0.0.1";
export const repository = resolve(
  dirname(fileURLToPath(import.meta.url)),
  "../..",
);
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
export const createId = () => randomBytes(8).toString("hex");

/** Ports of the loopback address that nothing listens on now. */
export async function findPorts(count) {
  const servers = [];
  for (let at = 0; at < count; at++) {
    const server = net.createServer();
    await new Promise((done) => server.listen(0, host, done));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  for (const server of servers)
    await new Promise((done) => server.close(done));
  return ports;
}

function listen(server, address = host, port = 0) {
  return new Promise((done, fail) => {
    server.once("error", fail);
    server.listen(port, address, () => done(server.address().port));
  });
}

/** The platform's store: rows, transactions and the feed of changes. */
export class Store {
  constructor() {
    this.tables = new Map();
    this.version = 100;
    this.era = 0;
    this.started = performance.now();
    this.waiting = new Set();
    this.sockets = new Set();
    /** "up", "silent" or "busy". */
    this.mode = "up";
    this.server = http.createServer((request, response) => {
      let body = "";
      request.on("data", (bytes) => {
        body += bytes;
      });
      request.on("end", () => this.handle(request, body, response));
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
    });
  }
  async open() {
    this.port = await listen(this.server);
    this.address = `${host}:${this.port}`;
    return this;
  }
  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
  /** What the operator and the servers write. */
  put(table, key, value) {
    this.write(table, "", key, Buffer.from(JSON.stringify(value)).toString("base64"));
    this.notify();
  }
  drop(table, key) {
    this.write(table, "", key, undefined);
    this.notify();
  }
  rowsOf(table) {
    if (!this.tables.has(table)) this.tables.set(table, new Map());
    return this.tables.get(table);
  }
  write(table, part, key, value, version = ++this.version) {
    this.rowsOf(table).set(`${part}\0${key}`, { part, key, value, version });
  }
  notify() {
    for (const check of [...this.waiting]) check();
  }
  now() {
    return Math.round(performance.now() - this.started);
  }
  send(response, status, content) {
    const text = JSON.stringify({
      ...content,
      RowVersion: content.RowVersion ?? this.version,
      NowMs: this.now(),
    });
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(text),
      "Store-Era": String(this.era),
    });
    response.end(text);
  }
  describe(table, row) {
    const { part, key, value, version } = row;
    const place = { TableName: table, part, Key: key, RowVersion: version };
    return value === undefined
      ? { ...place, Tombstone: true }
      : { ...place, Value: value };
  }
  handle(request, body, response) {
    if (this.mode === "silent") return;
    if (this.mode === "busy") return this.send(response, 503, {});
    const url = new URL(request.url, "http://store");
    const query = (name) => url.searchParams.get(name) ?? "";
    const table = query("TableName");
    switch (url.pathname) {
      case "/rows-get": {
        const rows = [...this.rowsOf(table).values()]
          .filter(
            ({ part, key, value }) =>
              value !== undefined &&
              part === query("part") &&
              key >= query("From") &&
              (query("To") === "" || key < query("To")),
          )
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        const limit = Math.min(500, Number(query("Limit")) || 500);
        const page = rows.slice(0, limit);
        return this.send(response, 200, {
          Rows: page.map((row) => this.describe(table, row)),
          HasMore: page.length < rows.length,
        });
      }
      case "/rows-feed":
        return this.feed(response, table, query);
      case "/rows-tx":
        return this.transact(JSON.parse(body), response);
      default:
        return this.send(response, 404, {});
    }
  }
  feed(response, table, query) {
    const after = Number(query("after"));
    if (after > this.version) return this.send(response, 410, {});
    const until = performance.now() + Math.min(30_000, Number(query("WaitMs")) || 0);
    let timer;
    const check = () => {
      const changed = [...this.rowsOf(table).values()]
        .filter(({ version }) => version > after)
        .sort((a, b) => a.version - b.version);
      if (changed.length === 0 && performance.now() < until) return;
      this.waiting.delete(check);
      clearTimeout(timer);
      if (this.mode !== "up" || response.destroyed) return;
      this.send(response, 200, {
        Rows: changed.map((row) => this.describe(table, row)),
      });
    };
    this.waiting.add(check);
    timer = setTimeout(check, Math.max(0, until - performance.now()) + 2);
    check();
  }
  transact({ Expected = [], Writes = [], Remove = [] }, response) {
    if ([...Writes, ...Remove].some(({ TableName }) => TableName === "op" || TableName === "servers"))
      return this.send(response, 403, {});
    const find = ({ TableName, part = "", Key }) =>
      this.rowsOf(TableName).get(`${part}\0${Key}`);
    const differs = Expected.some((expected) => {
      const row = find(expected);
      const version = row?.value === undefined ? 0 : row.version;
      return version !== expected.RowVersion;
    });
    if (differs) {
      const Rows = Expected.flatMap((expected) => {
        const row = find(expected);
        return row?.value === undefined ? [] : [this.describe(expected.TableName, row)];
      });
      return this.send(response, 412, { Rows });
    }
    const version = ++this.version;
    for (const { TableName, part = "", Key, Value } of Writes)
      this.write(TableName, part, Key, Value, version);
    for (const { TableName, part = "", Key } of Remove)
      this.write(TableName, part, Key, undefined, version);
    this.send(response, 200, { RowVersion: version });
    this.notify();
  }
}

/** Server of the booking service, as the pages describe servers. */
export class BookingServer {
  constructor({ id = `i-${createId().slice(0, 8)}`, workMs = 15, slots = 6 } = {}) {
    Object.assign(this, { id, workMs, slots, born: Date.now() });
    /** Requests that ran: id, method, path, time. */
    this.runs = [];
    this.server = http.createServer((request, response) =>
      this.handle(request, response),
    );
    this.server.keepAliveTimeout = 10_000;
    this.sockets = new Set();
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.sockets.delete(socket));
    });
  }
  async open() {
    this.port = await listen(this.server);
    this.address = `${host}:${this.port}`;
    return this;
  }
  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
  entry(fields = {}) {
    return {
      Service: "booking",
      Address: this.address,
      Zone: "zone-a",
      Version: "v1",
      Slots: this.slots,
      State: "ready",
      ColdRemainingMs: 0,
      Sequence: 0,
      born: this.born,
      ...fields,
    };
  }
  async handle(request, response) {
    const chunks = [];
    request.on("error", () => {});
    request.on("data", (bytes) => chunks.push(bytes));
    await new Promise((done) => request.on("end", done));
    const expected = request.headers["goldcrestwinch-expect-instance"];
    const id = request.headers["goldcrestwinch-request-id"];
    const instance = { "Goldcrestwinch-Instance-Id": this.id };
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, instance).end();
      return;
    }
    if (request.url === "/health") {
      response.writeHead(200, instance).end();
      return;
    }
    if (request.url === "/report") {
      const report = { Stage: "both", Models: [], Busy: false, Sequence: 0, born: this.born };
      response.writeHead(200, { "Content-Type": "application/json" });
      response.end(JSON.stringify(report));
      return;
    }
    if (id === undefined) {
      response.writeHead(400, { "Goldcrestwinch-Not-Executed": "1" }).end();
      return;
    }
    this.runs.push({ id, method: request.method, path: request.url, at: Date.now(), headers: request.rawHeaders, bytes: Buffer.concat(chunks).length });
    await sleep(this.workMs);
    const text = `answer to ${id} by ${this.id}`;
    response.writeHead(200, {
      ...instance,
      "Goldcrestwinch-Request-Id": id,
      "Goldcrestwinch-Server-Seal": `seal.${id}`,
      "Content-Length": Buffer.byteLength(text),
    });
    response.end(text);
  }
}

/** The operator's configuration: one unsafe and one safe route to the booking service. */
export function createConfiguration({ version = 7, routes = [], services = [] } = {}) {
  const route = {
    Host: "desk.example",
    TimeoutMs: 1_500,
    TargetLatencyMs: 200,
    Priority: 2,
    Service: "booking",
  };
  return {
    Version: version,
    Routes: [
      { ...route, Name: "r-book", Prefix: "/book/", Kind: "unsafe", MaxAttempts: 1 },
      { ...route, Name: "r-look", Prefix: "/look/", Kind: "safe", MaxAttempts: 2 },
      ...routes,
    ],
    Services: [
      { Name: "booking", HealthPath: "/health", MaxConnections: 110, Protocol: "h1", Tls: false },
      ...services,
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
  };
}

/** Command of the role in the deploy file. */
function readCommand() {
  const text = readFileSync(join(repository, "deploy/system.toml"), "utf8");
  const [, command] = /^run = "([^"]+)"$/m.exec(text);
  return command.split(" ");
}

/** One machine that runs the program of the deploy file; an ended process starts again. */
export class Machine {
  constructor({ name, zone = "zone-a", zones, storeAddress, limits, bounds, restartDelay = 500, log }) {
    Object.assign(this, { name, zone, storeAddress, restartDelay });
    this.zones = zones ?? { "zone-a": "region-a" };
    this.limits = limits;
    this.bounds = bounds;
    this.record = log ?? (() => {});
    this.folder = mkdtempSync(join(tmpdir(), "review-machine-"));
    /** Ends of the process by itself. */
    this.ends = [];
    this.lines = [];
    this.isStopped = false;
  }
  async open() {
    const [front, ready, control, peers] = await findPorts(4);
    Object.assign(this, { front, ready, control, peers });
    const settings = {
      NodeName: this.name,
      Role: "gateway",
      MachineClass: "edge",
      Serves: ["edge"],
      Ip: host,
      Zone: this.zone,
      Region: this.zones[this.zone],
      Zones: this.zones,
      Listen: { Front: `${host}:${front}`, Ready: `${host}:${ready}`, Control: `${host}:${control}` },
      InternalPortRange: [peers, peers],
      Seeds: [],
      Bootstrap: true,
      LossCounted: false,
      Limits: this.limits ?? { CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0 },
      DataDir: null,
      Discovery: "platform",
      Entry: "vip",
      HeartbeatMs: 1200,
      Contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"],
      FaultTolerance: { Machines: 2, Zones: 0, Regions: 0 },
      Bounds: {
        SeedLagS: 3, AddrReuseS: 2, ContactMs: 4000, AckMs: 5000, CatchUpS: 4, DrainMs: 2500, GraceS: 8,
        LossSlackMs: 200, ConfigApplyMs: 2500, RollbackSlackMs: 250, MaxStretchMs: 6000, RetryBudgetRatio: 0.2,
        BudgetWindowS: 10, RetryBudgetSlack: 58, RecoveryS: 12, PassMs: 300, RetryAfterS: 0, RequireFence: false,
        LeaseMs: 3000, ThawSlackMs: 300, CeilingWindowS: 5, CeilingOverage: 1.1, version_ms: 5000, ...this.bounds,
      },
      Platform: { Address: this.storeAddress, form: "table", WritesPerS: 400, ReadsPerS: 2000, TxnMs: 5, PartitionWritesS: 200, RowBytes: 65536, Across: false, HistoryS: 20, BlobBytes: 8388608, BlobMs: 25, BlobMbS: 80 },
    };
    this.settings = join(this.folder, "boot.json");
    writeFileSync(this.settings, JSON.stringify(settings));
    this.start();
    return this;
  }
  start() {
    const [command, ...parameters] = readCommand();
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(command, parameters, {
      cwd: repository,
      env: { PATH, HOME, LANG, GOLDCRESTWINCH_CONFIG: this.settings },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child = child;
    let rest = "";
    const read = (bytes) => {
      rest += bytes;
      const lines = rest.split("\n");
      rest = lines.pop();
      this.lines.push(...lines.map((line) => ({ at: Date.now(), line })));
    };
    child.stdout.on("data", read);
    child.stderr.on("data", read);
    child.on("exit", (status, signal) => {
      if (this.child !== child) return;
      this.child = undefined;
      this.exited?.();
      if (this.isStopped || this.expectsEnd) return;
      this.ends.push({ at: Date.now(), status, signal });
      this.record(`${this.name}: its process ended by itself, status ${status}, signal ${signal}`);
      setTimeout(() => {
        if (!this.isStopped) this.start();
      }, this.restartDelay);
    });
  }
  /** Sends a signal to the process. */
  signal(name) {
    this.child?.kill(name);
  }
  /** Kills the process and starts it again after a time. */
  async killAndStart(delay) {
    this.expectsEnd = true;
    await this.kill();
    await sleep(delay);
    this.expectsEnd = false;
    this.start();
  }
  async kill() {
    this.expectsEnd = true;
    const child = this.child;
    if (child === undefined) return;
    await new Promise((done) => {
      this.exited = done;
      child.kill("SIGKILL");
    });
    this.exited = undefined;
  }
  async stop() {
    this.isStopped = true;
    this.child?.kill("SIGCONT");
    await this.kill();
    rmSync(this.folder, { recursive: true, force: true });
  }
  /** Whether the readiness check gets 200. */
  async isReady() {
    return (await get(this.ready, "/readiness", 900)) === 200;
  }
  async waitUntilReady(limit = 20_000) {
    const end = Date.now() + limit;
    while (Date.now() < end) {
      if (await this.isReady()) return true;
      await sleep(100);
    }
    return false;
  }
  /** Resident memory, in MB; 0 without a process. */
  get memory() {
    try {
      const text = readFileSync(`/proc/${this.child.pid}/status`, "utf8");
      return Number(/VmRSS:\s+(\d+)/.exec(text)[1]) / 1024;
    } catch {
      return 0;
    }
  }
}

function get(port, path, timeout) {
  return new Promise((done) => {
    const request = http.get({ host, port, path, agent: false, timeout }, (response) => {
      response.resume();
      response.on("end", () => done(response.statusCode));
      response.on("error", () => done(undefined));
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => done(undefined));
  });
}

/** Sends one request on a connection of its own; resolves to what the client saw. */
export function call({ port, method = "POST", path = "/book/1", body = "", headers = {}, deadline = 3_000, id = createId(), onData }) {
  return new Promise((done) => {
    const sentAt = Date.now();
    const request = http.request({
      host, port, method, path, agent: false,
      headers: {
        Host: "desk.example",
        "Goldcrestwinch-Request-Id": id,
        "Goldcrestwinch-Deadline-Ms": String(deadline),
        ...(method === "GET" ? {} : { "Content-Length": Buffer.byteLength(body) }),
        ...headers,
      },
    });
    let finished = false;
    const finish = (result) => {
      if (finished) return;
      finished = true;
      clearTimeout(timer);
      done({ id, path, method, sentAt, ms: Date.now() - sentAt, ...result });
    };
    const timer = setTimeout(() => {
      finish({ end: "given up" });
      request.destroy();
    }, deadline);
    request.on("error", (error) => finish({ end: `closed (${error.code})` }));
    request.on("response", (response) => {
      const chunks = [];
      response.on("data", (bytes) => {
        chunks.push(bytes);
        onData?.(bytes);
      });
      const describe = () => ({ status: response.statusCode, headers: response.headers, rawHeaders: response.rawHeaders, text: Buffer.concat(chunks).toString() });
      response.on("end", () => finish({ end: response.complete ? "answered" : "broken off", ...describe() }));
      response.on("error", (error) => finish({ end: `broken off (${error.code})`, ...describe() }));
      response.on("close", () => finish({ end: "broken off", ...describe() }));
    });
    request.end(body);
  });
}

/** Writes the record of a case and keeps its lines. */
export function createRecord(folder) {
  const started = Date.now();
  const lines = [];
  return {
    add(text) {
      lines.push(`${((Date.now() - started) / 1000).toFixed(3)} ${text}`);
    },
    save() {
      writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
    },
  };
}
