import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findFreePorts } from "../support/free_ports.ts";

/** Maximum time until a process listens, in ms. */
const startTimeout = 30_000;

/** One line of the log of a process. */
export type LogLine = { readonly name: string; readonly requestId?: string } & {
  readonly [field: string]: unknown;
};

/** The program for the users' platform as a process of its own. */
export class NodeProcess {
  readonly #process: ChildProcess;
  readonly #folder: string;
  readonly port: number;
  readonly log: LogLine[] = [];
  /** Resolves to the exit status, or the signal that ended the process. */
  readonly ended: Promise<number | NodeJS.Signals>;

  private constructor(
    child: ChildProcess,
    options: { folder: string; port: number },
  ) {
    this.#process = child;
    this.#folder = options.folder;
    this.port = options.port;
    let rest = "";
    child.stdout?.on("data", (chunk: Buffer) => {
      const lines = (rest + chunk.toString("utf8")).split("\n");
      rest = lines.pop() ?? "";
      for (const line of lines) this.log.push(JSON.parse(line) as LogLine);
    });
    this.ended = once(child, "exit").then(
      ([code, signal]) => (code ?? signal) as number | NodeJS.Signals,
    );
  }

  /** Starts a node that reads the store at an address. */
  static async start(options: {
    readonly storeAddress: string;
    readonly graceSeconds: number;
  }): Promise<NodeProcess> {
    const folder = mkdtempSync(join(tmpdir(), "node-process-"));
    const [front, ready, peers] = await findFreePorts(3);
    const path = join(folder, "settings.json");
    writeFileSync(
      path,
      JSON.stringify({
        NodeName: "edge-1",
        Zone: "tatry-a",
        Region: "tatry",
        Zones: { "tatry-a": "tatry" },
        Ip: "127.0.0.1",
        Listen: {
          Front: `127.0.0.1:${front}`,
          Ready: `127.0.0.1:${ready}`,
        },
        InternalPortRange: [peers, peers],
        Bounds: { GraceS: options.graceSeconds },
        Platform: { Address: options.storeAddress },
      }),
    );
    const child = spawn(
      process.execPath,
      ["--import", "tsx", "platform/main.ts"],
      {
        env: { ...process.env, GOLDCRESTWINCH_CONFIG: path },
        stdio: ["ignore", "pipe", "inherit"],
      },
    );
    return new NodeProcess(child, { folder, port: front as number });
  }

  /** Resolves once the log contains an event. */
  async waitFor(event: string): Promise<LogLine> {
    const until = performance.now() + startTimeout;
    while (performance.now() < until) {
      const line = this.log.find(({ name }) => name === event);
      if (line !== undefined) return line;
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    throw new Error(`The process did not log ${event} in time`);
  }

  signal(signal: NodeJS.Signals): void {
    this.#process.kill(signal);
  }

  /** Ends the process if it still runs, and removes its settings. */
  async stop(): Promise<void> {
    this.#process.kill("SIGKILL");
    await this.ended;
    rmSync(this.#folder, { recursive: true });
  }
}
