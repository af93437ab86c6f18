// Starts the project's program as the deploy file says, and what a small deployment has around it.
import { fork, spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** Longest time of a script, in ms. */
const maxDuration = 110_000;
const flushInterval = 100;

/** Record of a run: what was sent, answered and run. */
export class Record {
  constructor(file) {
    this.file = file;
    this.lines = [];
    this.startedAt = performance.now();
    writeFileSync(file, `TROUBLE=${process.env.TROUBLE ?? "1"}\n`);
    setInterval(() => this.flush(), flushInterval).unref();
    process.on("exit", () => this.flush());
    const giveUp = (reason) => {
      this.write(`could not run: ${reason}`);
      process.exit(2);
    };
    process.on("uncaughtException", (error) => giveUp(error.stack));
    for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) process.on(signal, () => giveUp(signal));
    setTimeout(() => giveUp("it took too long"), maxDuration).unref();
  }

  write(text) {
    const at = ((performance.now() - this.startedAt) / 1000).toFixed(3);
    this.lines.push(`${at.padStart(8)} s  ${text}\n`);
  }

  flush() {
    if (this.lines.length > 0) appendFileSync(this.file, this.lines.join(""));
    this.lines = [];
  }
}

/** Processes that the script started and that have not ended, each with the promise of its end. */
const running = new Map();
let startedCount = 0;
let guard;
const folders = new Set();
process.on("exit", () => {
  for (const child of running.keys()) child.kill("SIGKILL");
  for (const folder of folders) rmSync(folder, { recursive: true, force: true });
});

/** Follows a process that the script has started, so that it ends with the script. */
export function track(child, name, record) {
  guard ??= fork(join(root, "review/stand-ins-3/guard.mjs"));
  startedCount++;
  record.write(`process of ${name} started, pid ${child.pid}`);
  guard.send({ started: child.pid });
  const ended = new Promise((done) =>
    child.once("exit", (status, signal) => {
      running.delete(child);
      if (guard.connected) guard.send({ ended: child.pid });
      record.write(`process of ${name} ended: status ${status}, signal ${signal}`);
      done({ status, signal });
    }),
  );
  running.set(child, ended);
  return ended;
}

/** Ends a tracked process; resolves when it has ended. */
export async function endProcess(child) {
  const ended = running.get(child);
  child.kill("SIGKILL");
  await ended;
}

/** Ends all processes that the script started, and then the script. */
export async function finish(code, record) {
  await Promise.all([...running.keys()].map(endProcess));
  if (guard !== undefined) {
    const ended = new Promise((done) => guard.once("exit", done));
    guard.disconnect();
    await ended;
  }
  record.write(`${startedCount} processes started, ${running.size} still run`);
  record.write(`exit ${code}`);
  process.exit(code);
}

export async function freePort(host) {
  const server = createServer();
  await new Promise((done, fail) => server.once("error", fail).listen(0, host, done));
  const { port } = server.address();
  await new Promise((done) => server.close(done));
  return port;
}

/** Command of the deploy file for the gateway. */
export function deployCommand() {
  const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Bounds and limits as in the settings that DEPLOY.md shows. */
export const bounds = {
  SeedLagS: 3, AddrReuseS: 2, ContactMs: 4000, AckMs: 5000, CatchUpS: 4, DrainMs: 2500,
  GraceS: 8, LossSlackMs: 200, ConfigApplyMs: 2500, RollbackSlackMs: 250, MaxStretchMs: 6000,
  RetryBudgetRatio: 0.2, BudgetWindowS: 10, RetryBudgetSlack: 58, RecoveryS: 12, PassMs: 300,
  RetryAfterS: 0, RequireFence: false, LeaseMs: 3000, ThawSlackMs: 300, CeilingWindowS: 5,
  CeilingOverage: 1.1, version_ms: 5000,
};

/** One machine: its process, and its addresses. */
export class Machine {
  static async start({ name, host, store, zone = "tatry-a", record, bootstrap = true, memoryMb = 350, bounds: own = {} }) {
    const machine = new Machine();
    machine.name = name;
    machine.record = record;
    machine.host = host;
    const [front, ready, peer] = [await freePort(host), await freePort(host), await freePort(host)];
    machine.front = front;
    machine.ready = ready;
    machine.folder = mkdtempSync(join(tmpdir(), "review-3-"));
    const settings = {
      NodeName: name, Role: "gateway", MachineClass: "edge", Serves: ["edge"], Ip: host,
      Zone: zone, Region: "tatry",
      Zones: { "tatry-a": "tatry", "beskidy-a": "beskidy", "sudety-a": "sudety" },
      Listen: { Front: `${host}:${front}`, Ready: `${host}:${ready}` },
      InternalPortRange: [peer, peer], Seeds: [], Bootstrap: bootstrap, LossCounted: false,
      Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: memoryMb, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0 },
      DataDir: null, Discovery: "platform", Entry: "vip", HeartbeatMs: 1200,
      Contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"],
      FaultTolerance: { Machines: 2, Zones: 0, Regions: 0 },
      Bounds: { ...bounds, ...own },
      Platform: { Address: store, form: "table", WritesPerS: 400, ReadsPerS: 2000, TxnMs: 5, PartitionWritesS: 200, RowBytes: 65536, Across: false, HistoryS: 20, BlobBytes: 8388608, BlobMs: 25, BlobMbS: 80 },
    };
    folders.add(machine.folder);
    machine.settingsFile = join(machine.folder, "boot.json");
    writeFileSync(machine.settingsFile, JSON.stringify(settings));
    machine.spawn();
    return machine;
  }

  spawn() {
    const [program, ...args] = deployCommand();
    const child = spawn(program, args, {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, GOLDCRESTWINCH_CONFIG: this.settingsFile },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child = child;
    this.end = undefined;
    this.log = [];
    const follow = (stream) => {
      let rest = "";
      stream.on("data", (chunk) => {
        const lines = (rest + chunk).split("\n");
        rest = lines.pop();
        this.log.push(...lines);
        if (this.log.length > 20_000) this.log.splice(0, 10_000);
      });
    };
    follow(child.stdout);
    follow(child.stderr);
    this.ended = track(child, this.name, this.record).then((end) => {
      this.end = end;
    });
  }

  /** Memory in use in MB: now, and at its peak. */
  memory() {
    try {
      const text = readFileSync(`/proc/${this.child.pid}/status`, "utf8");
      const read = (field) => Math.round(Number(new RegExp(`${field}:\\s+(\\d+)`).exec(text)?.[1] ?? 0) / 1024);
      return { now: read("VmRSS"), peak: read("VmHWM") };
    } catch {
      return { now: 0, peak: 0 };
    }
  }

  async isReady() {
    try {
      const answer = await fetch(`http://${this.host}:${this.ready}/readiness`, { signal: AbortSignal.timeout(1000) });
      await answer.arrayBuffer();
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  async waitReady(ms = 15_000) {
    const until = performance.now() + ms;
    while (performance.now() < until) {
      if (await this.isReady()) return true;
      await sleep(100);
    }
    return false;
  }

  async stop() {
    if (this.end === undefined) await endProcess(this.child);
  }
}
