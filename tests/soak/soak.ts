import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import type { Arrival, Serve } from "../rig/backend.ts";
import { findNotServing, waitUntilServing } from "../rig/callers.ts";
import { configuration, Installation, models } from "../rig/installation.ts";
import { type Machine, usualRetryLimits } from "../rig/machine.ts";
import { prepareEarlierProgram, prepareProgram } from "../rig/program.ts";
import { RetryWindow } from "../rig/retry_window.ts";
import { CallerKeys } from "./caller_keys.ts";
import { Calm } from "./calm.ts";
import { CrashingRequests } from "./crashing_requests.ts";
import {
  type Disturbance,
  disturbances,
  type Scene,
  upgrades,
} from "./disturbances.ts";
import { Observations, type Violation } from "./observations.ts";
import { keyChanges } from "./operator_changes.ts";
import { Pauses } from "./pauses.ts";
import { RequestLog } from "./request_log.ts";
import { createBookingService, serveStream } from "./servers.ts";
import { Standstills } from "./standstills.ts";
import { Traffic } from "./traffic.ts";
import { findWithheldStreams } from "./withheld_streams.ts";

const usualMachineCount = 4;
const bookingServers = 3;
const usualEngineCount = 4;
/** Time for the first answer of each machine, in ms. */
const startTime = 10_000;
/** Limit of the platform for one process, in MB. */
const memoryLimit = 350;
/** Longest pause between the starts of two disturbances, in ms. */
const maxPause = 2_000;
/** Time for all disturbances to wear off, and in which all machines must serve again, in ms. */
const recoveryTime = 12_000;
const memoryInterval = 250;

/** One soak: its seed and for how long new disturbances begin, in ms. */
export type SoakOptions = {
  readonly seed: number;
  readonly duration: number;
  /** Names of the disturbances to choose from; all without. */
  readonly names?: readonly string[];
  /** Folder that the logs of the machines are written to if a promise was broken. */
  readonly logs?: string | undefined;
  /** Number of machines; callers and servers do not change with it. */
  readonly machineCount?: number | undefined;
  /** Number of engines, and of streams a second. */
  readonly engineCount?: number | undefined;
  readonly streamRate?: number | undefined;
  /** Revision of the program that the machines start with; upgrades are then among the disturbances. */
  readonly earlier?: string | undefined;
};

/** What records a soak. */
type Records = {
  readonly observations: Observations;
  readonly requests: RequestLog;
  readonly crashing: CrashingRequests;
  readonly pauses: Pauses;
  readonly keys: CallerKeys | undefined;
};

export type SoakResult = {
  readonly seed: number;
  readonly violations: readonly Violation[];
  /** Disturbances in the order of their starts, with the time in s, then standstills of the callers. */
  readonly steps: readonly string[];
  readonly answers: ReadonlyMap<string, number>;
  /** Maximum memory of a process, in MB. */
  readonly peakMemory: number;
};

/** Plays overlapping disturbances, drawn from the seed, on real processes under traffic. */
export async function playSoak(options: SoakOptions): Promise<SoakResult> {
  const { machineCount = usualMachineCount, earlier } = options;
  const commands = [await prepareProgram()];
  if (earlier !== undefined) commands.unshift(prepareEarlierProgram(earlier));
  const random = createSeededRandom(options.seed);
  const observations = Observations.create();
  const calm = Calm.create();
  const crashing = CrashingRequests.create(random, calm);
  const requests = RequestLog.create();
  const pauses = Pauses.create(calm);
  // Earlier programs may not know keys.
  const keys =
    earlier === undefined ? CallerKeys.create(random, calm) : undefined;
  const records = { observations, requests, crashing, pauses, keys };
  const installation = await Installation.open(
    keys?.configure(configuration) ?? configuration,
  );
  installation.onClose(() => crashing.close());
  try {
    const windows = await addBackends(installation, records, options);
    const ends = watchEnds();
    const machines = await installation.addMachines(machineCount, {
      command: commands[0],
    });
    const { probeHeaders } = CallerKeys;
    await waitUntilServing(machines, startTime, probeHeaders);
    const memory = watchMemory(machines);
    const traffic = Traffic.start({
      machines,
      observations,
      requests,
      keys,
      random,
      onRequest: (service, at) => windows.get(service)?.recordRequest(at),
      streamRate: options.streamRate,
    });
    const { expectEnd } = ends;
    const scene = {
      ...{ installation, observations, random, expectEnd, commands },
      ...{ requests, calm, crashing, pauses, traffic, keys },
    };
    const standstills = Standstills.watch();
    const steps = await disturb(scene, options);
    await sleep(recoveryTime);
    await traffic.stop();
    const idle = await findNotServing(machines, probeHeaders);
    if (idle.length > 0)
      observations.add("not serving after recovery", idle.join("; "));
    ends.check(machines, observations);
    checkRetries(windows, observations);
    steps.push(...standstills.stop());
    const peakMemory = memory.stop();
    if (peakMemory > memoryLimit)
      observations.add("memory over the limit", `${peakMemory} MB`);
    const violations = [
      ...observations.findViolations(),
      ...requests.findViolations(calm),
      ...crashing.findViolations(requests),
      ...findWithheldStreams(crashing.parts, requests.ends, {
        calm,
        servers: installation.backends
          .filter(({ service }) => service === "engines")
          .map(({ id }) => id),
      }),
      ...pauses.findViolations(requests),
      ...(keys?.findViolations(requests) ?? []),
    ];
    if (violations.length > 0) keepLogs(machines, options);
    return {
      seed: options.seed,
      violations,
      steps,
      answers: observations.answers,
      peakMemory,
    };
  } finally {
    await installation.close();
  }
}

async function addBackends(
  installation: Installation,
  records: Records,
  { engineCount = usualEngineCount }: SoakOptions,
): Promise<ReadonlyMap<string, RetryWindow>> {
  const { observations, requests, crashing, pauses, keys } = records;
  const windows = new Map(
    ["booking", "engines"].map((service) => [
      service,
      RetryWindow.create(usualRetryLimits),
    ]),
  );
  const recordArrival = (service: string) => (arrival: Arrival) => {
    windows.get(service)?.recordArrival(arrival);
    requests.recordArrival(arrival);
    pauses.recordArrival(arrival);
  };
  const observe = (serve: Serve) => keys?.observe(serve) ?? serve;
  const serve = observe(
    crashing.crashUnder(createBookingService(observations)),
  );
  for (let at = 0; at < bookingServers; at++)
    await installation.addBackend({
      service: "booking",
      serve,
      onArrival: recordArrival("booking"),
    });
  for (let at = 0; at < engineCount; at++)
    await installation.addBackend({
      service: "engines",
      serve: observe(crashing.crashUnder(serveStream)),
      models,
      onArrival: recordArrival("engines"),
    });
  return windows;
}

/** Starts disturbances one after another; resolves when the last has ended. */
async function disturb(
  scene: Scene,
  { duration, names: chosen }: SoakOptions,
): Promise<string[]> {
  const { random, commands } = scene;
  const known = {
    ...disturbances,
    ...(commands.length > 1 ? upgrades : keyChanges),
  };
  const names = chosen ?? Object.keys(known);
  const steps: string[] = [];
  const running: Promise<void>[] = [];
  const startedAt = performance.now();
  while (performance.now() - startedAt < duration) {
    const name = names[Math.floor(random() * names.length)] as string;
    const at = ((performance.now() - startedAt) / 1_000).toFixed(1);
    steps.push(`${at} s ${name}`);
    running.push((known[name] as Disturbance)(scene));
    await sleep(random() * maxPause);
  }
  await Promise.all(running);
  return steps;
}

/** Counts the ends that disturbances caused; any other end is a violation. */
function watchEnds() {
  const expected = new Map<Machine, number>();
  return {
    expectEnd: (machine: Machine) => {
      expected.set(machine, (expected.get(machine) ?? 0) + 1);
    },
    check: (machines: readonly Machine[], observations: Observations) => {
      for (const machine of machines) {
        const odd = machine.ends.filter(
          ({ status }) => status !== "SIGKILL" && status !== 0,
        );
        for (const { status, errors } of odd)
          observations.add("process ended", `${status}: ${errors}`);
        if (machine.ends.length > (expected.get(machine) ?? 0))
          observations.add("process ended by itself", describeEnds([machine]));
      }
    },
  };
}

function keepLogs(
  machines: readonly Machine[],
  { logs, seed }: SoakOptions,
): void {
  if (logs === undefined) return;
  mkdirSync(logs, { recursive: true });
  for (const { name, log } of machines) {
    const lines = log.map((line) => JSON.stringify(line));
    writeFileSync(join(logs, `${seed}-${name}.jsonl`), lines.join("\n"));
  }
}

function describeEnds(machines: readonly Machine[]): string {
  return machines
    .map(({ name, ends }) => `${name}: ${ends.map(({ status }) => status)}`)
    .join("; ");
}

function checkRetries(
  windows: ReadonlyMap<string, RetryWindow>,
  observations: Observations,
): void {
  for (const [service, window] of windows) {
    const { repeats, allowed } = window.findWorst();
    if (repeats <= allowed) continue;
    const detail = `${service}: ${repeats} in a window, ${Math.floor(allowed)} allowed`;
    observations.add("retries over the budget", detail);
  }
}

function watchMemory(machines: readonly Machine[]) {
  let peak = 0;
  const timer = setInterval(() => {
    for (const machine of machines) peak = Math.max(peak, machine.peakMemory);
  }, memoryInterval);
  return {
    stop: () => {
      clearInterval(timer);
      return Math.round(peak);
    },
  };
}
