import { createSocket } from "node:dgram";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import type { Settings } from "../../src/adapters/settings/settings.ts";

/** Finds a loopback port that is free for TCP and UDP. */
async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const socket = createSocket("udp4");
  const isFree = await new Promise<boolean>((resolve) => {
    socket.once("error", () => resolve(false));
    socket.bind(port, "127.0.0.1", () => resolve(true));
  });
  socket.close();
  server.close();
  await once(server, "close");
  return isFree ? port : findFreePort();
}

/** Finds different loopback ports that are free for TCP and UDP. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports = new Set<number>();
  while (ports.size < count) ports.add(await findFreePort());
  return [...ports];
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
