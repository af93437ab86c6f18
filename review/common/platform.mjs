// Stand-ins of the platform for the scripts of this review: the store, the
// machines that run the program of the deploy file, and plain helpers.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const repository = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
export const host = "127.0.0.1";

/** Record of what was sent, answered and run; one line an event. */
export class Record {
  #path;
  #startedAt = performance.now();
  constructor(path) {
    this.#path = path;
    writeFileSync(path, "");
  }
  get now() {
    return performance.now() - this.#startedAt;
  }
  write(text) {
    appendFileSync(this.#path, `${(this.now / 1000).toFixed(3).padStart(8)} ${text}\n`);
  }
}

/** Free TCP ports of the loopback address, below those that the system gives to connections. */
export async function findFreePorts(count) {
  const servers = [];
  while (servers.length < count) {
    const server = createTcpServer();
    const port = 10_240 + Math.floor(Math.random() * 20_000);
    const isFree = await new Promise((done) => {
      server.once("error", () => done(false));
      server.listen(port, host, () => done(true));
    });
    if (isFree) servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return ports;
}

/** The platform's store: rows, transactions and the feed of changes, as PROTOCOL.md tells them. */
export class Store {
  #rows = new Map();
  #changes = [];
  #version = 100;
  #waiting = new Set();
  #era = 0;
  /** While set, the store answers nothing. */
  isAway = false;
  #server;
  /** May answer a call in place of the store; returns whether it did. */
  intercept = () => false;

  static async open() {
    const store = new Store();
    store.#server = createServer((request, response) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("end", () => {
        const url = new URL(request.url, "http://store");
        const body = Buffer.concat(chunks).toString();
        if (store.isAway || store.intercept(url, body, request, response)) return;
        // An answer of the store takes 4 ms.
        setTimeout(() => !store.isAway && store.#answer(url, body, response), 4);
      });
    });
    store.#server.keepAliveTimeout = 60_000;
    await new Promise((done) => store.#server.listen(0, host, done));
    return store;
  }

  get address() {
    return `${host}:${this.#server.address().port}`;
  }

  get version() {
    return this.#version;
  }

  put(table, key, value) {
    this.#version++;
    this.#apply(table, key, Buffer.from(JSON.stringify(value)).toString("base64"));
    this.#wake();
  }

  remove(table, key) {
    this.#version++;
    this.#apply(table, key, undefined);
    this.#wake();
  }

  read(table, key) {
    const row = this.#rows.get(`${table}\n${key}`);
    return row?.Value === undefined ? undefined : JSON.parse(Buffer.from(row.Value, "base64"));
  }

  /** A copy from which the store can come back. */
  copy() {
    return { rows: new Map(this.#rows), changes: [...this.#changes], version: this.#version };
  }

  /** Comes back from a copy; versions after it are given out again. */
  restore({ rows, changes, version }) {
    this.#rows = new Map(rows);
    this.#changes = [...changes];
    this.#version = version;
    this.#era++;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #apply(table, key, value) {
    const row = { TableName: table, part: "", Key: key, RowVersion: this.#version };
    if (value === undefined) this.#rows.delete(`${table}\n${key}`);
    else this.#rows.set(`${table}\n${key}`, { ...row, Value: value });
    this.#changes.push(value === undefined ? { ...row, Tombstone: true } : { ...row, Value: value });
  }

  #wake() {
    for (const check of [...this.#waiting]) check();
  }

  #answer(url, body, response) {
    if (url.pathname === "/rows-tx") return this.#transact(JSON.parse(body), response);
    const table = url.searchParams.get("TableName");
    if (url.pathname === "/rows-get") return this.#get(url, table, response);
    if (url.pathname === "/rows-feed") return this.#feed(url, table, response);
    response.writeHead(404).end();
  }

  #get(url, table, response) {
    const from = url.searchParams.get("From") ?? "";
    const to = url.searchParams.get("To");
    const limit = Math.min(500, Number(url.searchParams.get("Limit") ?? 500));
    const rows = [...this.#rows.values()]
      .filter((row) => row.TableName === table && row.Key >= from && (to === null || row.Key < to))
      .sort((a, b) => Buffer.compare(Buffer.from(a.Key), Buffer.from(b.Key)));
    this.#send(response, 200, { Rows: rows.slice(0, limit), HasMore: rows.length > limit });
  }

  #feed(url, table, response) {
    const after = Number(url.searchParams.get("after"));
    if (after > this.#version) return this.#send(response, 410, {});
    const era = this.#era;
    const until = performance.now() + Math.min(30_000, Number(url.searchParams.get("WaitMs") ?? 0));
    let timer;
    const check = () => {
      // What the store had promised before it went away is lost.
      if (this.isAway || this.#era !== era) {
        this.#waiting.delete(check);
        clearTimeout(timer);
        response.destroy();
        return;
      }
      const latest = new Map();
      for (const row of this.#changes)
        if (row.TableName === table && row.RowVersion > after) {
          latest.delete(row.Key);
          latest.set(row.Key, row);
        }
      if (latest.size === 0 && performance.now() < until) return;
      this.#waiting.delete(check);
      clearTimeout(timer);
      this.#send(response, 200, { Rows: [...latest.values()] });
    };
    this.#waiting.add(check);
    response.on("close", () => this.#waiting.delete(check));
    timer = setTimeout(check, Math.max(0, until - performance.now()) + 1);
    check();
  }

  #transact({ Expected = [], Writes = [], Remove = [] }, response) {
    const find = ({ TableName, Key }) => this.#rows.get(`${TableName}\n${Key}`);
    if ([...Writes, ...Remove].some(({ TableName }) => TableName === "op" || TableName === "servers"))
      return this.#send(response, 403, {});
    if (Expected.some((row) => (find(row)?.RowVersion ?? 0) !== row.RowVersion))
      return this.#send(response, 412, { Rows: Expected.flatMap((row) => find(row) ?? []) });
    this.#version++;
    for (const { TableName, Key, Value } of Writes) this.#apply(TableName, Key, Value);
    for (const { TableName, Key } of Remove) this.#apply(TableName, Key, undefined);
    this.#wake();
    this.#send(response, 200, {});
  }

  #send(response, status, body) {
    if (response.destroyed) return;
    const text = JSON.stringify({ ...body, RowVersion: this.#version, NowMs: Math.round(performance.now()) });
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text), "Store-Era": String(this.#era) });
    response.end(text);
  }
}

/** The command of the deploy file. */
export function readRunCommand() {
  const text = readFileSync(join(repository, "deploy/system.toml"), "utf8");
  const [, run] = /^run = "([^"]*)"$/m.exec(text);
  return run.split(" ");
}

/** One machine of the platform with one process of the program; ended processes start again after a short delay. */
export class Machine {
  #options;
  #child;
  #folder;
  #settings;
  #isStopped = false;
  #hasStopped;
  stderr = "";
  log = "";
  /** How each process ended. */
  ends = [];

  static async start(options) {
    const machine = new Machine();
    machine.#options = options;
    machine.#folder = mkdtempSync(join(tmpdir(), "review-machine-"));
    const [front, ready, control, peers] = await findFreePorts(4);
    machine.front = front;
    machine.ready = ready;
    machine.#settings = join(machine.#folder, "boot.json");
    const { name, zone, zones, store } = options;
    const content = {
      NodeName: name,
      Role: "gateway",
      MachineClass: "edge",
      Serves: ["edge"],
      Ip: host,
      Zone: zone,
      Region: zones[zone],
      Zones: zones,
      Listen: { Front: `${host}:${front}`, Ready: `${host}:${ready}`, Control: `${host}:${control}` },
      InternalPortRange: [peers, peers],
      Seeds: [],
      Bootstrap: true,
      LossCounted: false,
      Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0 },
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
        LeaseMs: 3000, ThawSlackMs: 300, CeilingWindowS: 5, CeilingOverage: 1.1, version_ms: 5000,
      },
      Platform: {
        Address: store.address, form: "table", WritesPerS: 400, ReadsPerS: 2000, TxnMs: 5, PartitionWritesS: 200,
        RowBytes: 65536, Across: false, HistoryS: 20, BlobBytes: 8388608, BlobMs: 25, BlobMbS: 80,
      },
    };
    writeFileSync(machine.#settings, JSON.stringify(content));
    machine.#spawn();
    await machine.waitUntilReady();
    return machine;
  }

  get pid() {
    return this.#child.pid;
  }

  signal(signal) {
    this.#child.kill(signal);
  }

  /** Whether the process answers that it is ready. */
  async isReady() {
    try {
      const answer = await fetch(`http://${host}:${this.ready}/readiness`, { signal: AbortSignal.timeout(900) });
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  async waitUntilReady() {
    const until = performance.now() + 20_000;
    while (performance.now() < until) {
      if (await this.isReady()) return;
      await sleep(50);
    }
    throw new CannotRun(`${this.#options.name} did not become ready: ${this.stderr.slice(0, 500)}`);
  }

  /** Resident memory of the process, in MB. */
  get memory() {
    try {
      const status = readFileSync(`/proc/${this.#child.pid}/status`, "utf8");
      return Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0) / 1024;
    } catch {
      return 0;
    }
  }

  async stop() {
    this.#isStopped = true;
    if (this.#child.exitCode === null && this.#child.signalCode === null) {
      const ended = new Promise((done) => this.#child.once("exit", done));
      this.#child.kill("SIGCONT");
      this.#child.kill("SIGKILL");
      await ended;
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #spawn() {
    const [program, ...args] = readRunCommand();
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: repository,
      env: { PATH, HOME, LANG, GOLDCRESTWINCH_CONFIG: this.#settings },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    child.once("error", (error) => {
      this.stderr = String(error);
    });
    child.stdout.on("data", (chunk) => {
      this.log = (this.log + chunk).slice(-4_000_000);
    });
    child.stderr.on("data", (chunk) => {
      this.stderr = (this.stderr + chunk).slice(-10_000);
    });
    child.once("exit", (code, signal) => {
      this.ends.push(code ?? signal);
      this.#options.onEnd?.(code ?? signal);
      if (!this.#isStopped) setTimeout(() => !this.#isStopped && this.#spawn(), 300);
    });
  }
}

/** The case could not run. */
export class CannotRun extends Error {}

/** Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, play) {
  const record = new Record(join(folder, "record.txt"));
  const closing = [];
  const trouble = process.env.TROUBLE !== "0";
  const limit = setTimeout(() => finish(2, "the case took too long"), 115_000);
  let isFinished = false;
  async function finish(status, text) {
    if (isFinished) return;
    isFinished = true;
    clearTimeout(limit);
    record.write(`result: ${text}`);
    console.log(text);
    for (const close of closing.reverse()) await Promise.resolve(close()).catch(() => {});
    process.exit(status);
  }
  for (const event of ["uncaughtException", "unhandledRejection"])
    process.on(event, (error) => finish(2, `could not run: ${error.stack}`));
  for (const signal of ["SIGTERM", "SIGINT"]) process.on(signal, () => finish(2, `ended by ${signal}`));
  record.write(trouble ? "with the disruption" : "without the disruption");
  try {
    const { broken, text } = await play({ record, trouble, onClose: (close) => closing.push(close) });
    await finish(broken ? 1 : 0, `${broken ? "BROKEN" : "held"}: ${text}`);
  } catch (error) {
    await finish(2, `could not run: ${error.stack}`);
  }
}
