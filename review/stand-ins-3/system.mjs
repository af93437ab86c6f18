// Starts the project's program as the deploy file says, and what a small deployment has around it.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
export const isTroubled = process.env.TROUBLE !== "0";

/** Record of a run: what was sent, answered and run. */
export class Record {
  constructor(folder) {
    this.file = join(folder, "record.txt");
    writeFileSync(this.file, "");
    this.startedAt = performance.now();
  }

  write(text) {
    const at = ((performance.now() - this.startedAt) / 1000).toFixed(3);
    appendFileSync(this.file, `${at.padStart(8)} s  ${text}\n`);
  }
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

const running = new Set();
process.on("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});

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
    running.add(child);
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
    this.ended = new Promise((done) =>
      child.once("exit", (status, signal) => {
        running.delete(child);
        this.end = { status, signal };
        this.record?.write(`process of ${this.name} ended: status ${status}, signal ${signal}`);
        done(this.end);
      }),
    );
    this.record?.write(`process of ${this.name} started, pid ${child.pid}`);
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
    if (this.end === undefined) this.child.kill("SIGKILL");
    await this.ended;
    rmSync(this.folder, { recursive: true, force: true });
  }
}
