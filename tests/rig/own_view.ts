import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

const host = "127.0.0.1";

/**
 * Path of one machine to the store on which some addresses are replaced, so that
 * the machine reaches servers by links of its own. The addresses must be as long
 * as those that replace them.
 */
export class OwnView {
  readonly #server = createServer((near) => this.#accept(near));
  readonly #target: number;
  readonly #addresses: ReadonlyMap<string, string>;

  private constructor(target: number, addresses: ReadonlyMap<string, string>) {
    this.#target = target;
    this.#addresses = addresses;
  }

  /** Opens a view of the store at `IP:PORT` of this machine. */
  static async open(
    store: string,
    addresses: ReadonlyMap<string, string>,
  ): Promise<OwnView> {
    for (const [from, to] of addresses)
      if (from.length !== to.length)
        throw new Error(`${to} must be as long as ${from}`);
    const view = new OwnView(Number(store.split(":")[1]), addresses);
    view.#server.listen(0, host);
    await once(view.#server, "listening");
    return view;
  }

  get address(): string {
    return `${host}:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
  }

  #accept(near: Socket): void {
    const far = connect({ host, port: this.#target });
    const end = () => {
      near.destroy();
      far.destroy();
    };
    for (const socket of [near, far]) socket.on("error", end).on("close", end);
    near.pipe(far);
    far.on("data", (bytes) => near.write(this.#replace(bytes)));
  }

  #replace(bytes: Buffer): Buffer {
    const text = bytes
      .toString("latin1")
      .replaceAll(/(?<="Value":")[^"]+/g, (value) => this.#replaceIn(value));
    return Buffer.from(text, "latin1");
  }

  /** Replaces the addresses in a value of a row, whose length stays the same. */
  #replaceIn(value: string): string {
    let text = Buffer.from(value, "base64").toString();
    for (const [from, to] of this.#addresses) text = text.replaceAll(from, to);
    return Buffer.from(text).toString("base64");
  }
}
