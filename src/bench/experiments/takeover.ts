import { millis } from "../../core/clock.ts";
import {
  defaultSessionSettings,
  type SessionSettings,
} from "../../core/lease/state.ts";
import { type ClusterNode, ClusterSimulation } from "../cluster_simulation.ts";
import type { Experiment, Figures } from "../experiment.ts";
import { createRandom } from "../random.ts";
import { Distribution } from "../statistics.ts";

const failureCount = 20;
/** Interval between checks of the nodes, in ms. */
const samplingInterval = 20;
/** Maximum time to wait for suspicion and takeover, in ms; recorded when it is exceeded. */
const timeout = 40_000;

type Size = {
  readonly centres: number;
  readonly nodesPerCentre: number;
  readonly session: SessionSettings;
};

/** Lease settings for 610 nodes; see section 7 of the design page. */
const largeSession: SessionSettings = {
  ...defaultSessionSettings,
  duration: millis(15_000),
  renewInterval: millis(5_000),
};

const sizes: Record<string, Size> = {
  "9 nodes": { centres: 3, nodesPerCentre: 3, session: defaultSessionSettings },
  "60 nodes": { centres: 2, nodesPerCentre: 30, session: largeSession },
};

/** Pauses one node at a time and measures the time to its suspicion and to the takeover of its engines. */
async function run(variant: string, seed: number): Promise<Figures> {
  const random = createRandom(seed);
  const suspicion = Distribution.create();
  const takeover = Distribution.create();
  const { session, ...size } = sizes[variant] as Size;
  const simulation = await ClusterSimulation.create({
    seed,
    ...size,
    enginesPerNode: 2,
    session,
    random,
  });
  for (let round = 0; round < failureCount; round++) {
    await simulation.run(5_000 * random());
    const owners = simulation.nodes.filter(
      (node) => node.session.owned().length > 0,
    );
    const failed = owners[Math.floor(random() * owners.length)] as ClusterNode;
    failed.clock.pause();
    await measureFailure(simulation, { failed, suspicion, takeover });
    failed.clock.resume();
    await simulation.run(30_000);
  }
  return {
    "median suspicion ms": suspicion.percentile(50),
    "worst suspicion ms": suspicion.percentile(100),
    "median takeover ms": takeover.percentile(50),
    "worst takeover ms": takeover.percentile(100),
  };
}

async function measureFailure(
  simulation: ClusterSimulation,
  round: {
    readonly failed: ClusterNode;
    readonly suspicion: Distribution;
    readonly takeover: Distribution;
  },
): Promise<void> {
  const { failed } = round;
  const since = simulation.clock.now();
  const others = simulation.nodes.filter((node) => node !== failed);
  const unaware = new Set(others);
  const orphans = new Set(failed.session.owned());
  while (unaware.size + orphans.size > 0) {
    await simulation.run(samplingInterval);
    const now = simulation.clock.now();
    for (const node of unaware) {
      const isLive = node.membership
        .liveNodes()
        .some((peer) => peer.node === failed.node);
      if (isLive && now - since < timeout) continue;
      round.suspicion.record(now - since);
      unaware.delete(node);
    }
    for (const engine of orphans) {
      const isOwned = others.some((node) => {
        const event = node.ownership.get(engine);
        return event?.type === "ownership" && event.orderUntil > now;
      });
      if (!isOwned && now - since < timeout) continue;
      round.takeover.record(now - since);
      orphans.delete(engine);
    }
  }
}

export const experiment: Experiment = {
  name: "takeover",
  summary:
    "Time until a failed node is suspected everywhere and its engines have new owners",
  variants: Object.keys(sizes),
  run,
  comparisons: [],
  targets: [
    {
      figure: "worst suspicion ms",
      variant: "9 nodes",
      target: { atMost: 2_000 },
    },
    {
      figure: "worst suspicion ms",
      variant: "60 nodes",
      target: { atMost: 2_000 },
    },
    {
      figure: "worst takeover ms",
      variant: "9 nodes",
      target: { atMost: 9_000 },
    },
    {
      figure: "worst takeover ms",
      variant: "60 nodes",
      target: { atMost: 18_000 },
    },
  ],
};
