import { setTimeout as sleep } from "node:timers/promises";
import type { Backend } from "../rig/backend.ts";
import type { Installation } from "../rig/installation.ts";
import type { Machine } from "../rig/machine.ts";
import type { Command } from "../rig/program.ts";
import { holdTcpPort } from "../support/held_port.ts";
import type { CallerKeys } from "./caller_keys.ts";
import type { Calm } from "./calm.ts";
import type { CrashingRequests } from "./crashing_requests.ts";
import { choose, draw } from "./draws.ts";
import type { Observations } from "./observations.ts";
import { changeConfiguration } from "./operator_changes.ts";
import type { Pauses } from "./pauses.ts";
import type { RequestLog } from "./request_log.ts";
import { failRequests } from "./servers.ts";
import type { Traffic } from "./traffic.ts";

/** What a disturbance may act on. */
export type Scene = {
  readonly installation: Installation;
  readonly observations: Observations;
  readonly requests: RequestLog;
  readonly calm: Calm;
  readonly crashing: CrashingRequests;
  readonly pauses: Pauses;
  readonly traffic: Traffic;
  /** Undefined if the machines know no keys. */
  readonly keys: CallerKeys | undefined;
  readonly random: () => number;
  /** Commands of the programs that machines change between. */
  readonly commands: readonly Command[];
  /** Announces that a process will be ended by a signal. */
  readonly expectEnd: (machine: Machine) => void;
};

/** One kind of disturbance; it resolves when its effect has ended. */
export type Disturbance = (scene: Scene) => Promise<void>;

/** Time between SIGTERM and the forced end of a process, in ms. */
const gracePeriod = 8_000;
/** Time for a process to end and start again, in ms. */
const restartTime = 1_500;
/** Time from the notice that a server drains until it is gone, in ms. */
const drainTime = 6_000;
/** Servers of a service below which none is released. */
const minServers = 2;
/** Requests that crash servers, and the time between two of them, in ms. */
const crashingCount = 80;
const crashingInterval = 250;

function chooseMachine({ installation, random }: Scene): Machine {
  return choose(installation.machines, random);
}

function chooseBackend(scene: Scene, service?: string): Backend {
  const backends = scene.installation.backends.filter(
    (backend) => service === undefined || backend.service === service,
  );
  return choose(backends, scene.random);
}

function kill(scene: Scene, machine: Machine): void {
  if (!machine.isRunning) return;
  scene.expectEnd(machine);
  const end = scene.calm.disturb(machine.name);
  machine.signal("SIGKILL");
  setTimeout(end, restartTime);
}

const killMachine: Disturbance = async (scene) =>
  kill(scene, chooseMachine(scene));

const killAllMachines: Disturbance = async (scene) => {
  for (const machine of scene.installation.machines) kill(scene, machine);
};

const killMachinesTwice: Disturbance = async (scene) => {
  await killAllMachines(scene);
  await sleep(700);
  await killAllMachines(scene);
};

async function stop(scene: Scene, machine: Machine): Promise<void> {
  const { pid } = machine;
  if (!machine.isLogging) return;
  scene.expectEnd(machine);
  machine.signal("SIGTERM");
  await sleep(gracePeriod);
  if (!machine.isRunning || machine.pid !== pid) return;
  scene.calm.disturb(machine.name)();
  machine.signal("SIGKILL");
}

const stopMachine: Disturbance = async (scene) =>
  stop(scene, chooseMachine(scene));

const stopMachinesInTurn: Disturbance = async (scene) => {
  const stops: Promise<void>[] = [];
  for (const machine of scene.installation.machines) {
    stops.push(stop(scene, machine));
    await sleep(restartTime);
  }
  await Promise.all(stops);
};

/** Machine by machine changes to the next program and, once all have, machine by machine on to the one after it. */
const upgradeMachinesInTurn: Disturbance = async (scene) => {
  const { commands, installation } = scene;
  for (const command of [...commands.slice(1), ...commands.slice(0, 1)]) {
    for (const machine of installation.machines)
      machine.replaceCommand(command);
    await stopMachinesInTurn(scene);
  }
};

const reloadSettings: Disturbance = async (scene) => {
  const machine = chooseMachine(scene);
  for (let at = 0; at < 3; at++) {
    if (machine.isLogging) machine.signal("SIGHUP");
    await sleep(draw(scene.random, 5, 300));
  }
};

const freezeMachine: Disturbance = async (scene) => {
  const machine = chooseMachine(scene);
  const end = scene.calm.disturb(machine.name);
  machine.signal("SIGSTOP");
  await sleep(draw(scene.random, 300, 4_000));
  machine.signal("SIGCONT");
  end();
};

const holdFrontPort: Disturbance = async (scene) => {
  const machine = chooseMachine(scene);
  if (!machine.isRunning) return;
  kill(scene, machine);
  const end = scene.calm.disturb(machine.name);
  await machine.waitForEnd();
  const free = await holdTcpPort(machine.front).catch(() => undefined);
  await sleep(draw(scene.random, 500, 2_500));
  await free?.();
  setTimeout(end, restartTime);
};

const silenceStore: Disturbance = async ({ installation, random, calm }) => {
  const end = calm.disturb("store");
  installation.store.isUnresponsive = true;
  await sleep(draw(random, 500, 4_000));
  installation.store.isUnresponsive = false;
  end();
};

const failStore: Disturbance = async ({ installation, random, calm }) => {
  const end = calm.disturb("store");
  installation.store.failWith = 503;
  await sleep(draw(random, 500, 4_000));
  installation.store.failWith = undefined;
  end();
};

const crashBackend: Disturbance = async (scene) =>
  scene.crashing.crash(chooseBackend(scene));

/** An engine crashes and comes back under its id with newer software. */
const upgradeBackend: Disturbance = async (scene) => {
  const backend = chooseBackend(scene, "engines");
  if (!backend.isRunning) return;
  const restarted = scene.crashing.crash(backend);
  backend.version = `v${Number(backend.version.slice(1)) + 1}`;
  await restarted;
};

const failBackend: Disturbance = async (scene) => {
  const share = draw(scene.random, 0.2, 0.9);
  const backend = chooseBackend(scene);
  const end = scene.calm.disturb(backend.id);
  const recover = failRequests(backend, { ...scene, share });
  await sleep(draw(scene.random, 1_000, 5_000));
  recover();
  end();
};

/** A server turns requests away and names a time for which it wants none. */
const pauseBackend: Disturbance = async (scene) => {
  const recover = scene.pauses.pause(chooseBackend(scene), scene.requests);
  await sleep(draw(scene.random, 1_000, 4_000));
  recover();
};

/** Sends requests at an even rate; resolves when all have ended. */
async function repeat(send: () => Promise<void>): Promise<void> {
  const sent: Promise<void>[] = [];
  for (let at = 0; at < crashingCount; at++) {
    sent.push(send());
    await sleep(crashingInterval);
  }
  await Promise.all(sent);
}

/** A new server starts, then one of its service drains and leaves. */
const releaseBackend: Disturbance = async ({ installation, random, calm }) => {
  const running = installation.backends.filter(({ isRunning }) => isRunning);
  const leaving = choose(running, random);
  const { service } = leaving;
  const sound = running.filter((backend) => backend.service === service);
  if (sound.length < minServers) return;
  const { version } = leaving;
  await installation.addBackend({ ...leaving.options, version });
  await sleep(draw(random, 500, 1_500));
  leaving.drain();
  await sleep(drainTime);
  calm.disturb(leaving.id);
  leaving.leave();
};

const sendCrashingLookups: Disturbance = async ({ crashing, traffic }) => {
  const path = crashing.addRequest();
  await repeat(() => traffic.sendLookup(path, true));
};

const sendCrashingStreams: Disturbance = async ({ crashing, traffic }) => {
  const path = crashing.addRequest();
  const parts = traffic.drawParts();
  await repeat(() => traffic.sendCrashingStream(path, parts));
};

const sendCrashingPrompts: Disturbance = async ({ crashing, traffic }) => {
  const part = crashing.addPart();
  const [beginning = ""] = traffic.drawParts();
  let streams = 0;
  await repeat(() => {
    const [, session = ""] = traffic.drawParts();
    const parts = [beginning, part, session];
    return traffic.sendCrashingStream(`${part}-${streams++}`, parts);
  });
};

/** All kinds of disturbances by name. */
export const disturbances: Readonly<Record<string, Disturbance>> = {
  killMachine,
  killAllMachines,
  killMachinesTwice,
  stopMachine,
  stopMachinesInTurn,
  reloadSettings,
  freezeMachine,
  holdFrontPort,
  silenceStore,
  failStore,
  crashBackend,
  upgradeBackend,
  failBackend,
  pauseBackend,
  releaseBackend,
  changeConfiguration,
  sendCrashingLookups,
  sendCrashingStreams,
  sendCrashingPrompts,
};

/** Kinds of disturbances that need a second program. */
export const upgrades: Readonly<Record<string, Disturbance>> = {
  upgradeMachinesInTurn,
};
