import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil } from "../support/wait.ts";
import { Installation } from "./installation.ts";

/** Length of a standstill, in ms. */
const stallTime = 1_000;
/** Processor time below which a process was paused for most of a standstill, in ms. */
const pausedTime = stallTime / 2;
/** Time for the event to be logged, in ms. */
const logAllowed = 10_000;

/** Computes for a time in ms of the processor when the process gets SIGUSR2. */
const computeOnSignal = `process.on("SIGUSR2", () => {
  const before = process.cpuUsage();
  let used = 0;
  while (used < ${stallTime} * 1000) {
    const { user, system } = process.cpuUsage(before);
    used = user + system;
  }
});`;

// Guards against a log from which a process that computes cannot be told from one that
// was paused: both answer nobody, but only one of them is a fault of the program.
test("the log tells a process that computed for a second from one that was paused", async (context) => {
  const installation = await Installation.open();
  context.after(() => installation.close());
  const folder = mkdtempSync(join(tmpdir(), "computing-"));
  context.after(() => rmSync(folder, { recursive: true }));
  const script = join(folder, "computing.cjs");
  writeFileSync(script, computeOnSignal);
  const machine = await installation.addMachine({
    restartDelay: undefined,
    nodeOptions: ["--require", script],
  });
  await machine.waitUntilReady();

  const findStall = async (known: number) => {
    const list = () =>
      machine
        .logged("processStalled")
        .slice(known)
        .filter(({ gap }) => Number(gap) >= stallTime / 2);
    await waitUntil(() => list().length > 0, logAllowed);
    return Number(list()[0]?.processorTime);
  };
  const known = machine.logged("processStalled").length;
  machine.signal("SIGSTOP");
  await sleep(stallTime);
  machine.signal("SIGCONT");
  const paused = await findStall(known);
  assert.ok(paused < pausedTime, `${paused} ms of a pause`);
  const knownThen = machine.logged("processStalled").length;
  machine.signal("SIGUSR2");
  const busy = await findStall(knownThen);
  assert.ok(busy >= stallTime * 0.9, `${busy} ms of a busy time`);
  const metrics = await machine.readMetrics();
  assert.match(metrics, /process_stall_ms_count [2-9]/);
});
