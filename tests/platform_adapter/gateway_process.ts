import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { findFreePorts } from "../support/free_ports.ts";

/** Time for the process to start and become ready, in ms. */
const startAllowed = 20_000;
/** Time for one answer, in ms. */
const answerAllowed = 5_000;

/** One line of the process's log. */
export type LogLine = {
  readonly name?: string;
  readonly [field: string]: unknown;
};

/** The program of the platform, started as a process of its own. */
export class GatewayProcess {
  readonly #child: ChildProcess;
  readonly #folder: string;
  readonly front: number;
  readonly ready: number;
  #stdout = "";
  #stderr = "";

  private constructor(options: {
    child: ChildProcess;
    folder: string;
    front: number;
    ready: number;
  }) {
    this.#child = options.child;
    this.#folder = options.folder;
    this.front = options.front;
    this.ready = options.ready;
    this.#child.stdout?.on("data", (chunk) => {
      this.#stdout += chunk;
    });
    this.#child.stderr?.on("data", (chunk) => {
      this.#stderr += chunk;
    });
  }

  /** Starts the program with the store at this address; resolves once it is ready. */
  static async start(storeAddress: string): Promise<GatewayProcess> {
    const folder = await mkdtemp(join(tmpdir(), "gateway-process-"));
    const [front, ready, peer] = await findFreePorts(3);
    const settings = join(folder, "settings.json");
    const content = {
      NodeName: "n1",
      Zone: "tatry-a",
      Region: "tatry",
      Zones: { "tatry-a": "tatry" },
      Ip: "127.0.0.1",
      Listen: { Front: `127.0.0.1:${front}`, Ready: `127.0.0.1:${ready}` },
      InternalPortRange: [peer, peer],
      HeartbeatMs: 1_200,
      Bounds: {},
      Platform: { Address: storeAddress },
    };
    await writeFile(settings, JSON.stringify(content));
    const child = spawn(
      process.execPath,
      ["--import", "tsx", "platform/main.ts"],
      { env: { ...process.env, GOLDCRESTWINCH_CONFIG: settings } },
    );
    const gateway = new GatewayProcess({
      child,
      folder,
      front: front as number,
      ready: ready as number,
    });
    await gateway.#waitUntilReady();
    return gateway;
  }

  /** Why the process has ended; undefined while it runs. */
  get end(): string | undefined {
    const { exitCode, signalCode } = this.#child;
    if (exitCode === null && signalCode === null) return undefined;
    return `exit ${exitCode ?? signalCode}: ${this.#stderr.slice(0, 2_000)}`;
  }

  /** Log lines of an event. */
  logged(event: string): LogLine[] {
    const lines = this.#stdout.split("\n").slice(0, -1);
    return lines
      .filter((line) => line.startsWith("{"))
      .map((line) => JSON.parse(line) as LogLine)
      .filter((line) => line.name === event);
  }

  /** The metrics as text. */
  async readMetrics(): Promise<string> {
    return (await this.#call(this.ready, "/metrics")).text;
  }

  /** Status of the answer to a request of a caller; 0 if there is none. */
  async send(options: {
    readonly host: string;
    readonly path: string;
    readonly headers?: Record<string, string>;
  }): Promise<number> {
    const headers = {
      host: options.host,
      "goldcrestwinch-request-id": `r${Math.random()}`,
      ...options.headers,
    };
    return (await this.#call(this.front, options.path, headers)).status;
  }

  async stop(): Promise<void> {
    if (this.end === undefined) {
      this.#child.kill("SIGKILL");
      await once(this.#child, "exit");
    }
    await rm(this.#folder, { recursive: true });
  }

  async #waitUntilReady(): Promise<void> {
    const deadline = performance.now() + startAllowed;
    while (performance.now() < deadline && this.end === undefined) {
      if ((await this.#call(this.ready, "/readiness")).status === 200) return;
      await sleep(50);
    }
    await this.stop();
    throw new Error(`The process did not become ready; ${this.end}`);
  }

  #call(
    port: number,
    path: string,
    headers: Record<string, string> = {},
  ): Promise<{ status: number; text: string }> {
    return new Promise((resolve) => {
      const call = request(
        { host: "127.0.0.1", port, path, headers, timeout: answerAllowed },
        (response) => {
          let text = "";
          response.on("data", (chunk) => {
            text += chunk;
          });
          response.on("error", () => resolve({ status: 0, text: "" }));
          response.on("end", () =>
            resolve({ status: response.statusCode ?? 0, text }),
          );
        },
      );
      call.on("timeout", () => call.destroy());
      call.on("error", () => resolve({ status: 0, text: "" }));
      call.end();
    });
  }
}
