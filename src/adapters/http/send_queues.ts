import { readFile } from "node:fs/promises";
import type { Socket } from "node:net";

/** Table in which Linux lists its TCP connections over IPv4. */
const connectionTable = "/proc/net/tcp";
/** Columns of that table: the addresses of both ends, and the sizes of the queues. */
const localColumn = 1;
const remoteColumn = 2;
const queuesColumn = 4;
/** How long one reading of the table serves all connections, in ms. */
const maxAge = 200;

/** Reads how many bytes of connections wait in the kernel until the other end has received them. */
export class SendQueues {
  #sizes: Promise<ReadonlyMap<string, number>> | undefined;

  static create(): SendQueues {
    return new SendQueues();
  }

  /** Bytes that the other end has not received; undefined if this system does not tell. */
  async find(socket: Socket): Promise<number | undefined> {
    const { localAddress, localPort, remoteAddress, remotePort } = socket;
    const local = formatEnd(localAddress, localPort);
    const remote = formatEnd(remoteAddress, remotePort);
    return (await this.#read()).get(`${local} ${remote}`);
  }

  #read(): Promise<ReadonlyMap<string, number>> {
    if (this.#sizes === undefined) {
      this.#sizes = readSizes();
      setTimeout(() => {
        this.#sizes = undefined;
      }, maxAge).unref();
    }
    return this.#sizes;
  }
}

async function readSizes(): Promise<ReadonlyMap<string, number>> {
  const text = await readFile(connectionTable, "latin1").catch(() => "");
  return new Map(
    text
      .split("\n")
      .slice(1)
      .map((line) => line.trim().split(/\s+/))
      .map((columns) => [
        `${columns[localColumn]} ${columns[remoteColumn]}`,
        Number.parseInt(columns[queuesColumn] ?? "", 16),
      ]),
  );
}

/** An end of a connection as the table writes it: the bytes of the address in reverse, and the port. */
function formatEnd(address = "", port = 0): string {
  const bytes = address.split(".").map(Number).reverse();
  const digits = Buffer.from(bytes).toString("hex").toUpperCase();
  return `${digits}:${port.toString(16).toUpperCase().padStart(4, "0")}`;
}
