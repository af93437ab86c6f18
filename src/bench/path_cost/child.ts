import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";

/** What a child process of the bench says once it serves. */
export type ChildReady = { readonly origins: Readonly<Record<string, string>> };

/** Child process of the bench with its addresses and its processor time. */
export type BenchChild = {
  readonly origins: Readonly<Record<string, string>>;
  /** Processor time used so far, in ms. */
  readCpuTime(): Promise<number>;
  stop(): Promise<void>;
};

/** Starts a file of this folder; `BENCH_CPU_PROFILE` names a folder for processor profiles. */
export async function startChild(
  file: string,
  settings: object,
): Promise<BenchChild> {
  const folder = process.env.BENCH_CPU_PROFILE;
  const profile =
    folder === undefined ? [] : ["--cpu-prof", `--cpu-prof-dir=${folder}`];
  const child = fork(new URL(file, import.meta.url), {
    execArgv: [...profile, "--import", "tsx"],
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

/** Runs in the child: serves, then answers the orders of the parent. */
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
