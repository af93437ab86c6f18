import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";

/** Message that a child process of the benchmark sends once its servers listen. */
export type ChildReady = { readonly origins: Readonly<Record<string, string>> };

/** Child process of the benchmark with the addresses of its servers. */
export type BenchChild = {
  readonly origins: Readonly<Record<string, string>>;
  /** Reads the CPU time used so far, in ms. */
  readCpuTime(): Promise<number>;
  stop(): Promise<void>;
};

/** Forks a file of this folder; `BENCH_CPU_PROFILE` is the output folder for CPU profiles. */
export async function startChild(
  file: string,
  settings: object,
): Promise<BenchChild> {
  const profileFolder = process.env.BENCH_CPU_PROFILE;
  const profileOptions =
    profileFolder === undefined
      ? []
      : ["--cpu-prof", `--cpu-prof-dir=${profileFolder}`];
  const child = fork(new URL(file, import.meta.url), {
    execArgv: [...profileOptions, "--import", "tsx"],
  });
  child.send(settings);
  const ready = (await receive(child)) as ChildReady;
  return {
    origins: ready.origins,
    readCpuTime: async () => {
      child.send("cpu");
      return (await receive(child)) as number;
    },
    stop: async () => {
      const exited = once(child, "exit");
      child.send("stop");
      await exited;
    },
  };
}

async function receive(child: ChildProcess): Promise<unknown> {
  const [message] = await once(child, "message");
  return message;
}

/** Runs in the child process: starts the servers, then handles messages from the parent. */
export function serveChild<Settings>(
  start: (settings: Settings) => Promise<ChildReady>,
): void {
  process.on("disconnect", () => process.exit(0));
  process.on("message", (message) => {
    if (message === "stop") process.exit(0);
    if (message === "cpu") {
      const { user, system } = process.cpuUsage();
      process.send?.((user + system) / 1000);
      return;
    }
    void start(message as Settings).then((ready) => process.send?.(ready));
  });
}
