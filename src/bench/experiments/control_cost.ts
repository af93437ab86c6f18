import { millis } from "../../core/clock.ts";
import {
  defaultSessionSettings,
  type SessionSettings,
} from "../../core/lease/state.ts";
import { ClusterSimulation } from "../cluster_simulation.ts";
import type { Experiment, Figures } from "../experiment.ts";
import { measureHeap } from "../heap.ts";
import { createRandom } from "../random.ts";

/** Duration of the measurement in virtual time, in s. */
const measuredSeconds = 30;
const enginesPerNode = 5;

type Size = { readonly centres: number; readonly nodesPerCentre: number };

const sizes: Record<string, Size> = {
  "3 nodes": { centres: 1, nodesPerCentre: 3 },
  "9 nodes": { centres: 3, nodesPerCentre: 3 },
  "30 nodes": { centres: 3, nodesPerCentre: 10 },
  "100 nodes": { centres: 5, nodesPerCentre: 20 },
  "300 nodes": { centres: 10, nodesPerCentre: 30 },
};

/** Lease settings for 100 nodes and more, the size of the expected installation. */
const largeSession: SessionSettings = {
  ...defaultSessionSettings,
  duration: millis(15_000),
  renewInterval: millis(5_000),
};

/** Runs the control planes of all nodes in this process; results include the cost of the simulator. */
async function run(variant: string, seed: number): Promise<Figures> {
  const size = sizes[variant] as Size;
  const count = size.centres * size.nodesPerCentre;
  const before = measureHeap();
  const simulation = await ClusterSimulation.create({
    seed,
    ...size,
    enginesPerNode,
    session: count >= 100 ? largeSession : defaultSessionSettings,
    random: createRandom(seed),
  });
  await applySheet(simulation);
  await publishViews(simulation, 5);
  const start = readTotals(simulation);
  const cpu = process.cpuUsage();
  await publishViews(simulation, measuredSeconds);
  const { user, system } = process.cpuUsage(cpu);
  const end = readTotals(simulation);
  const perNode = (figure: "sent" | "received" | "writes" | "reads") =>
    (end[figure] - start[figure]) / measuredSeconds / count;
  return {
    "complete nodes": simulation.countComplete(),
    "core share percent":
      ((user + system) / 1e6 / measuredSeconds / count) * 100,
    "memory KB": (measureHeap() - before) / count / 1024,
    "sent bytes/s": perNode("sent"),
    "received bytes/s": perNode("received"),
    "most sent bytes/s": maxSendRate(start.bySender, end.bySender),
    "table writes/s": perNode("writes"),
    "table reads/s": perNode("reads"),
  };
}

/** Applies a sheet; without one every node would read the head row, instead of one node per data centre. */
async function applySheet(simulation: ClusterSimulation): Promise<void> {
  const sheet = { adapters: [{ name: "chains", versions: ["1"] }] };
  const change = { base: 0, sheet, operator: "bench", attempt: "first" };
  void simulation.nodes[0]?.configuration.apply(change);
  await simulation.run(5_000);
}

/** Publishes a changed view of each engine once per second, from the node that owns it. */
async function publishViews(
  simulation: ClusterSimulation,
  duration: number,
): Promise<void> {
  for (let second = 0; second < duration; second++) {
    for (const { membership, session } of simulation.nodes) {
      for (const engine of session.owned()) {
        const load = [second % 7, second % 16];
        const times = [140, 225, 2_300];
        const held = Array.from({ length: 8 }, (_, at) => 4e9 - at * 7919);
        const view = [0, 8, 16, ...load, ...times, held, []];
        membership.publish("engine", engine, view);
      }
    }
    await simulation.run(1_000);
  }
}

function readTotals(simulation: ClusterSimulation) {
  const traffic = [...simulation.network.traffic];
  const sum = (pick: (bytes: (typeof traffic)[0][1]) => number) =>
    traffic.reduce((total, [, one]) => total + pick(one), 0);
  return {
    sent: sum((one) => one.sentBytes),
    received: sum((one) => one.receivedBytes),
    bySender: new Map(traffic.map(([key, one]) => [key, one.sentBytes])),
    writes: simulation.table.totals.writes,
    reads: simulation.table.totals.reads,
  };
}

function maxSendRate(
  start: ReadonlyMap<string, number>,
  end: ReadonlyMap<string, number>,
): number {
  const rates = [...end].map(
    ([key, bytes]) => (bytes - (start.get(key) ?? 0)) / measuredSeconds,
  );
  return Math.max(...rates);
}

export const experiment: Experiment = {
  name: "control_cost",
  summary:
    "CPU time, memory, traffic and table calls of one node's control plane",
  variants: Object.keys(sizes),
  run,
  comparisons: ["core share percent", "memory KB", "sent bytes/s"].map(
    (figure) => ({ figure, variant: "300 nodes", baseline: "100 nodes" }),
  ),
  targets: [
    {
      figure: "core share percent",
      variant: "300 nodes",
      target: { atMost: 3.3 },
    },
    { figure: "sent bytes/s", variant: "300 nodes", target: { atMost: 8_000 } },
  ],
};
