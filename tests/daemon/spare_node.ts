import assert from "node:assert/strict";
import { after, before } from "node:test";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import {
  type Installation,
  startInstallation,
  stopInstallation,
} from "../../src/demo/installation.ts";
import { applyDemoSheet, waitUntilReady } from "../../src/demo/run.ts";
import { assignFreePorts } from "../support/free_ports.ts";
import { DaemonProcess } from "./daemon_process.ts";

export const clock = RealClock.create();

/** A node in a process of its own, beside the installation that it joins. */
export type SpareNode = { installation: Installation; node: DaemonProcess };

/** Starts a node before the tests of a file and stops it after them. */
export function useSpareNode(): SpareNode {
  const spare = {} as SpareNode;
  before(async () => {
    spare.installation = await startInstallation(clock, {
      regions: ["tatry"],
      nodesPerRegion: 2,
      spareNodes: 1,
    });
    await applyDemoSheet(spare.installation, clock);
    await waitUntilReady(spare.installation.daemons, clock);
    const [settings] = spare.installation.spare;
    assert.ok(settings);
    spare.node = DaemonProcess.create(await assignFreePorts(settings));
    await spare.node.waitUntilReady();
  });
  after(async () => {
    await spare.node.stop();
    await stopInstallation(spare.installation);
  });
  return spare;
}
