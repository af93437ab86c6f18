import type { Settings } from "../../src/adapters/settings/settings.ts";
import { holdTcpPort, holdUdpPort } from "./held_port.ts";
import { PortBlock } from "./port_block.ts";

let opened: Promise<PortBlock> | undefined;

async function takePort(): Promise<number> {
  opened ??= PortBlock.open();
  const used = opened;
  const port = (await used).take();
  if (port !== undefined) return port;
  if (opened === used) opened = undefined;
  return takePort();
}

async function isFree(port: number): Promise<boolean> {
  try {
    for (const hold of [holdTcpPort, holdUdpPort]) {
      const release = await hold(port);
      await release();
    }
    return true;
  } catch {
    return false;
  }
}

async function findFreePort(): Promise<number> {
  const port = await takePort();
  return (await isFree(port)) ? port : findFreePort();
}

/** Finds loopback ports that are free for TCP and UDP, and that no earlier call has found. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) ports.push(await findFreePort());
  return ports;
}

/**
 * Settings with new addresses for the listeners. The ports that an installation
 * reserved for a node may be taken by the time at which the node starts.
 */
export async function assignFreePorts(settings: Settings): Promise<Settings> {
  const host = "127.0.0.1";
  const [callers, peers] = (await findFreePorts(2)).map((port) => ({
    host,
    port,
  })) as [Settings["listen"]["callers"], Settings["listen"]["peers"]];
  return { ...settings, listen: { callers, peers } };
}
