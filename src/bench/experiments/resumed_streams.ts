import { createSeededRandom } from "../../adapters/random/seeded_random.ts";
import { millis } from "../../core/clock.ts";
import type { Experiment, Figures } from "../experiment.ts";
import { countTakeUps, StreamFleet, type TakeUps } from "../stream_fleet.ts";

/** Times of the release, of the restarts and of the end of a run, in ms. */
const releaseAt = 5_000;
const restartAt = 12_000;
const runLength = 24_000;

const sizes = [1, 9, 90, 195, 610];

/** Share of the nodes that are restarted at the same moment. */
const restartedShares: Readonly<Record<string, number>> = {
  release: 0.1,
  "all-restarted": 1,
};

async function run(variant: string, seed: number): Promise<Figures> {
  const figures: Record<string, number> = {};
  let joined = 0;
  for (const nodes of sizes) {
    const random = createSeededRandom(seed);
    const fleet = StreamFleet.create(nodes, random);
    const { clock, unaffected, restarted } = fleet;
    clock.schedule(millis(releaseAt), () => fleet.release());
    clock.schedule(millis(restartAt), () =>
      fleet.restart(restartedShares[variant] as number),
    );
    await fleet.run(runLength);
    joined += unaffected.joined + restarted.joined;
    figures[`resumedShareOf${nodes}`] = findShare(unaffected);
    figures[`resumedShareAfterRestartOf${nodes}`] = findShare(restarted);
    const nodeSeconds = (nodes * runLength) / 1_000;
    figures[`writesOf${nodes}`] = fleet.table.writes / nodeSeconds;
    figures[`bytesOf${nodes}`] = fleet.table.writtenBytes / nodeSeconds;
    figures[`readsOf${nodes}`] = fleet.table.reads / nodeSeconds;
    figures[`messagesOf${nodes}`] = fleet.messages / nodeSeconds;
  }
  return { joined, ...figures };
}

/** Share of the take-ups that went on; 1 if there were none. */
function findShare(takeUps: TakeUps): number {
  const all = countTakeUps(takeUps);
  return all === 0 ? 1 : takeUps.resumed / all;
}

/** Whether streams go on at the software version that began them, at 1 to 610 nodes. */
export const experiment: Experiment = {
  name: "resumed_streams",
  summary:
    "1 to 610 nodes begin 2 streams a second each at 12 servers, half of which are replaced by a newer version from 5 s on, on virtual time; a fifth of the streams break and are taken up at a random node within 0.5 s. release: a tenth of the nodes restart at 12 s. all-restarted: all do. joined: streams that went on at another version; resumedShareOfN, resumedShareAfterRestartOfN: share of the take-ups that go on at nodes that were not restarted, and at those that were; writesOfN, bytesOfN, readsOfN, messagesOfN: table calls, written bytes, and messages and calls between nodes a node and second.",
  variants: Object.keys(restartedShares),
  run,
  comparisons: [],
  targets: [
    ...Object.keys(restartedShares).map((variant) => ({
      figure: "joined",
      variant,
      target: { atMost: 0 },
      everyRun: true,
    })),
    ...sizes.map((nodes) => ({
      figure: `resumedShareOf${nodes}`,
      variant: "release",
      target: { atLeast: 0.95 },
    })),
  ],
};
