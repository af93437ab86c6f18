import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { findFreePorts } from "../support/free_ports.ts";
import { type Command, prepareProgram } from "./program.ts";

const host = "127.0.0.1";
/** Time for a process to start and become ready, in ms. */
const startAllowed = 20_000;
/** Time for one answer of the status server, in ms. */
const answerAllowed = 900;
/** Pause before a process that has ended is started again, in ms. */
const defaultRestartDelay = 300;
/** Interval at which conditions are checked, in ms. */
const checkInterval = 20;
/** Log lines that the report of a failure ends with. */
const reportedLines = 5;

/** One line of the log of a process. */
export type LogLine = {
  readonly name?: string;
  readonly requestId?: string;
  readonly [field: string]: unknown;
};

/** How a process ended: exit status or signal, and what it wrote to standard error. */
export type ProcessEnd = {
  readonly status: number | NodeJS.Signals;
  readonly errors: string;
  readonly at: number;
};

export type MachineOptions = {
  readonly name?: string;
  readonly zone?: string;
  /** Region of each zone. */
  readonly zones?: Readonly<Record<string, string>>;
  /** `IP:PORT` at which the machine reaches the store. */
  readonly storeAddress: string;
  /** Fields of the settings file in place of the usual ones. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** Bounds of the settings file in place of the usual ones. */
  readonly bounds?: Readonly<Record<string, unknown>>;
  /** Time until an ended process starts again, in ms; undefined: it does not. */
  readonly restartDelay?: number | undefined;
  /** Command that starts the processes; that of the present program without. */
  readonly command?: Command;
  /** Further options of Node for the processes. */
  readonly nodeOptions?: readonly string[];
  /** Called before the first process starts. */
  readonly prepare?: (machine: Machine) => Promise<void>;
};

/** Limits on retries that the settings of a machine state; the window is in ms. */
export const usualRetryLimits = { ratio: 0.2, slack: 58, window: 10_000 };

const usualBounds = {
  GraceS: 8,
  RetryBudgetRatio: usualRetryLimits.ratio,
  RetryBudgetSlack: usualRetryLimits.slack,
  BudgetWindowS: usualRetryLimits.window / 1_000,
};

/** One machine that runs the program of the deploy file; a process that ends is started again. */
export class Machine {
  readonly name: string;
  readonly front: number;
  readonly ready: number;
  /** Port of calls and datagrams between machines. */
  readonly peers: number;
  /** Ends of the processes, in order. */
  readonly ends: ProcessEnd[] = [];
  readonly log: LogLine[] = [];
  /** Resolves at the end of the first process. */
  readonly ended: Promise<ProcessEnd>;
  #resolveEnded: (end: ProcessEnd) => void = () => {};
  readonly #folder: string;
  #command: Command;
  readonly #nodeOptions: readonly string[];
  readonly #restartDelay: number | undefined;
  #child: ChildProcess | undefined;
  #isStopped = false;
  #hasLogged = false;

  private constructor(
    options: MachineOptions,
    setup: { command: Command; folder: string; ports: readonly number[] },
  ) {
    this.name = options.name ?? "edge-1";
    const [front, ready, peers] = setup.ports as [number, number, number];
    this.front = front;
    this.ready = ready;
    this.peers = peers;
    this.#folder = setup.folder;
    this.#command = setup.command;
    this.#nodeOptions = options.nodeOptions ?? [];
    this.#restartDelay =
      "restartDelay" in options ? options.restartDelay : defaultRestartDelay;
    writeFileSync(this.#settingsPath, this.#describe(options));
    this.ended = new Promise((resolve) => {
      this.#resolveEnded = resolve;
    });
  }

  /** Starts a machine without waiting for its process. */
  static async start(options: MachineOptions): Promise<Machine> {
    const machine = new Machine(options, {
      command: options.command ?? (await prepareProgram()),
      folder: mkdtempSync(join(tmpdir(), "rig-machine-")),
      ports: await findFreePorts(3),
    });
    await options.prepare?.(machine);
    machine.#spawn();
    return machine;
  }

  /** Starts a machine and waits until it answers that it is ready. */
  static async open(options: MachineOptions): Promise<Machine> {
    const machine = await Machine.start(options);
    await machine.waitUntilReady();
    return machine;
  }

  get pid(): number | undefined {
    return this.#child?.pid;
  }

  get isRunning(): boolean {
    return this.#child?.exitCode === null && this.#child.signalCode === null;
  }

  /** Whether the process has written to its log, and so handles signals. */
  get isLogging(): boolean {
    return this.isRunning && this.#hasLogged;
  }

  /** Resident memory of the process, in MB. */
  get memory(): number {
    return this.#readMemory("VmRSS");
  }

  /** Maximum resident memory of the process so far, in MB. */
  get peakMemory(): number {
    return this.#readMemory("VmHWM");
  }

  /** Number of open descriptors of the process. */
  get descriptors(): number {
    try {
      return readdirSync(`/proc/${this.pid}/fd`).length;
    } catch {
      return 0;
    }
  }

  /** Starts the next processes with another command. */
  replaceCommand(command: Command): void {
    this.#command = command;
  }

  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Log lines of an event. */
  logged(event: string): LogLine[] {
    return this.log.filter(({ name }) => name === event);
  }

  /** Resolves once the log contains an event. */
  async waitFor(event: string): Promise<LogLine> {
    const until = performance.now() + startAllowed;
    while (performance.now() < until) {
      const [line] = this.logged(event);
      if (line !== undefined) return line;
      await sleep(checkInterval);
    }
    throw new Error(`${this.name} did not log ${event}; ${this.#report()}`);
  }

  /** Resolves at the next end of a process. */
  async waitForEnd(allowed = startAllowed): Promise<ProcessEnd> {
    const known = this.ends.length;
    const until = performance.now() + allowed;
    while (performance.now() < until) {
      const end = this.ends[known];
      if (end !== undefined) return end;
      await sleep(checkInterval);
    }
    throw new Error(`${this.name} did not end; ${this.#report()}`);
  }

  /** Whether the process answers that it is ready. */
  async isReady(): Promise<boolean> {
    return (await this.#read("/readiness")).status === 200;
  }

  async waitUntilReady(allowed = startAllowed): Promise<void> {
    const until = performance.now() + allowed;
    while (performance.now() < until) {
      if (await this.isReady()) return;
      await sleep(checkInterval);
    }
    throw new Error(`${this.name} is not ready; ${this.#report()}`);
  }

  /** The metrics as text. */
  async readMetrics(): Promise<string> {
    return (await this.#read("/metrics")).text;
  }

  /** Ends the process, also a stopped one, and removes the settings. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    if (this.#child !== undefined && this.isRunning) {
      const ended = once(this.#child, "exit");
      this.#child.kill("SIGKILL");
      await ended;
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }

  get #settingsPath(): string {
    return join(this.#folder, "settings.json");
  }

  #describe(options: MachineOptions): string {
    const { zone = "tatry-a", zones = { "tatry-a": "tatry" } } = options;
    return JSON.stringify({
      NodeName: this.name,
      Zone: zone,
      Region: zones[zone],
      Zones: zones,
      Ip: host,
      Listen: {
        Front: `${host}:${this.front}`,
        Ready: `${host}:${this.ready}`,
      },
      InternalPortRange: [this.peers, this.peers],
      HeartbeatMs: 1_200,
      Bounds: { ...usualBounds, ...options.bounds },
      Platform: { Address: options.storeAddress },
      ...options.settings,
    });
  }

  #spawn(): void {
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, LANG, GOLDCRESTWINCH_CONFIG: this.#settingsPath };
    const { program, args } = this.#command;
    const child = spawn(program, [...this.#nodeOptions, ...args], {
      env,
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    this.#hasLogged = false;
    let errors = "";
    let rest = "";
    child.stdout.on("data", (chunk: Buffer) => {
      const lines = (rest + chunk.toString("utf8")).split("\n");
      rest = lines.pop() ?? "";
      this.#hasLogged = true;
      for (const line of lines)
        if (line.startsWith("{")) this.log.push(JSON.parse(line) as LogLine);
    });
    child.stderr.on("data", (chunk: Buffer) => {
      errors = (errors + chunk.toString("utf8")).slice(-10_000);
    });
    child.once("close", (code, signal) => {
      const status = (code ?? signal) as ProcessEnd["status"];
      const end = { status, errors, at: performance.now() };
      this.ends.push(end);
      this.#resolveEnded(end);
      if (this.#isStopped || this.#restartDelay === undefined) return;
      setTimeout(() => {
        if (!this.#isStopped) this.#spawn();
      }, this.#restartDelay);
    });
  }

  #readMemory(field: "VmRSS" | "VmHWM"): number {
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, "utf8");
      const match = new RegExp(`^${field}:\\s+(\\d+)`, "m").exec(status);
      return Number(match?.[1] ?? 0) / 1_024;
    } catch {
      return 0;
    }
  }

  #report(): string {
    const ends = this.ends.map(({ status, errors }) => `${status}: ${errors}`);
    const lines = this.log.slice(-reportedLines).map((line) => {
      const { name, detail = "" } = line;
      return `${name} ${detail}`.trim();
    });
    return `ended ${ends.length} times: ${ends.join("; ").slice(0, 2_000)}; last events: ${lines.join("; ") || "none"}`;
  }

  #read(path: string): Promise<{ status: number; text: string }> {
    return new Promise((resolve) => {
      const none = () => resolve({ status: 0, text: "" });
      const call = request(
        { host, port: this.ready, path, agent: false, timeout: answerAllowed },
        (response) => {
          let text = "";
          response.on("data", (chunk) => {
            text += chunk;
          });
          response.on("error", none);
          response.on("end", () =>
            resolve({ status: response.statusCode ?? 0, text }),
          );
        },
      );
      call.on("timeout", () => call.destroy());
      call.on("error", none);
      call.end();
    });
  }
}
