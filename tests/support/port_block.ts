import { randomInt } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:net";

const host = "127.0.0.1";
/** First port of the first block; all blocks lie below the ports that systems give to outgoing connections. */
const firstPort = 10_000;
const portsPerBlock = 100;
const blockCount = 220;

/** Ports that belong to one process until it ends: it listens on the first of them, and uses the others. */
export class PortBlock {
  readonly #end: number;
  #next: number;

  private constructor(start: number) {
    this.#next = start + 1;
    this.#end = start + portsPerBlock;
  }

  /** Opens a block that no other process has; rejects if there is none. */
  static async open(): Promise<PortBlock> {
    const offset = randomInt(blockCount);
    for (let at = 0; at < blockCount; at++) {
      const index = (offset + at) % blockCount;
      const start = firstPort + index * portsPerBlock;
      if (await claim(start)) return new PortBlock(start);
    }
    throw new Error(
      `no ${portsPerBlock} ports from ${firstPort} up are free; end processes that earlier runs have left`,
    );
  }

  /** The next port, each once; undefined if all have been taken. */
  take(): number | undefined {
    return this.#next < this.#end ? this.#next++ : undefined;
  }
}

/** Listens on a port for the life of the process; false if another one does. */
async function claim(port: number): Promise<boolean> {
  const server = createServer((socket) => socket.destroy());
  server.unref().listen({ port, host, exclusive: true });
  return await once(server, "listening").then(
    () => true,
    () => false,
  );
}
