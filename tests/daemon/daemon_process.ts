import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Settings } from "../../src/adapters/settings/settings.ts";

/** Maximum time until a started process accepts calls, in ms. */
const startTimeout = 30_000;

/** The daemon as a process of its own. */
export class DaemonProcess {
  readonly #process: ChildProcess;
  readonly #folder: string;
  /** Address for callers, as `IP:PORT`. */
  readonly callers: string;
  /** Text of the log. */
  log = "";
  /** Resolves to the exit status, or to the signal that ended the process. */
  readonly ended: Promise<number | NodeJS.Signals>;

  private constructor(settings: Settings) {
    const { host, port } = settings.listen.callers;
    this.callers = `${host}:${port}`;
    this.#folder = mkdtempSync(join(tmpdir(), "daemon-process-"));
    const path = join(this.#folder, "settings.json");
    writeFileSync(path, JSON.stringify(settings));
    this.#process = spawn(
      process.execPath,
      ["--import", "tsx", "src/cli/main.ts", "node", "--config", path],
      { stdio: ["ignore", "ignore", "pipe"] },
    );
    this.#process.stderr?.on("data", (chunk: Buffer) => {
      this.log += chunk.toString("utf8");
    });
    this.ended = once(this.#process, "exit").then(
      ([code, signal]) => (code ?? signal) as number | NodeJS.Signals,
    );
  }

  /** Starts the process without waiting for it. */
  static create(settings: Settings): DaemonProcess {
    return new DaemonProcess(settings);
  }

  /** Resolves once the node accepts calls. */
  async waitUntilReady(): Promise<void> {
    const until = performance.now() + startTimeout;
    while (performance.now() < until) {
      const answer = await fetch(`http://${this.callers}/readyz`).catch(
        () => undefined,
      );
      if (answer?.status === 200) return;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error(`The node is not ready in time: ${this.log}`);
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
