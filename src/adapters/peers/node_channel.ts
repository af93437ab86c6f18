import { createSocket, type Socket } from "node:dgram";
import { isSocketAddress } from "../../core/socket_address.ts";
import type { ReportFailure } from "../../ports/failures.ts";
import type { Journal } from "../../ports/journal.ts";
import type { NodeChannel, NodeMessage } from "../../ports/nodes.ts";
import { decodeNodeMessage, encodeNodeMessage } from "./node_message_codec.ts";

/** Maximum size of a datagram, in bytes, below the usual path MTU. */
const maxDatagramBytes = 1_400;

/** Address and observers of a channel. */
export type NodeChannelOptions = {
  readonly host: string;
  readonly port: number;
  readonly journal: Journal;
  /** Reports messages whose handling failed; they are discarded without it. */
  readonly reportFailure?: ReportFailure;
};

/** Sends messages between nodes over UDP; a later message replaces a lost one. */
export class UdpNodeChannel implements NodeChannel {
  readonly #options: NodeChannelOptions;
  /** Socket that is bound; messages are dropped without one. */
  #socket: Socket | undefined;
  #closed = false;
  #listener: (message: NodeMessage, from: string) => void = () => {};

  private constructor(options: NodeChannelOptions) {
    this.#options = options;
  }

  static create(options: NodeChannelOptions): UdpNodeChannel {
    return new UdpNodeChannel(options);
  }

  /**
   * Binds a socket; rejects if the address cannot be used. An error of a bound
   * socket closes it and is reported to `onLost`; the channel may then be opened again.
   */
  open(onLost: () => void = () => {}): Promise<void> {
    const { host, port, journal } = this.#options;
    const socket = createSocket("udp4");
    socket.on("message", (frame, { address, port: senderPort }) =>
      this.#receive(frame, `${address}:${senderPort}`),
    );
    return new Promise((resolve, reject) => {
      socket.on("error", (error) => {
        if (socket !== this.#socket) {
          socket.close();
          reject(error);
          return;
        }
        this.#socket = undefined;
        socket.close();
        journal.record("useChannelFailed", { detail: error.message });
        onLost();
      });
      socket.bind(port, host, () => {
        if (this.#closed) socket.close();
        else this.#socket = socket;
        resolve();
      });
    });
  }

  send(address: string, message: NodeMessage): void {
    // A repeated message may be due after the node has stopped.
    if (this.#closed) return;
    if (!isSocketAddress(address)) {
      const detail = `Cannot send to the address "${address.slice(0, 64)}"`;
      this.#options.journal.record("useChannelFailed", { detail });
      return;
    }
    const socket = this.#socket;
    // A socket that is not bound would send from a port of its own.
    if (socket === undefined) return;
    const colon = address.lastIndexOf(":");
    const host = address.slice(0, colon);
    const port = Number(address.slice(colon + 1));
    for (const frame of encodeNodeMessage(message)) {
      if (frame.length > maxDatagramBytes) continue;
      // A send error is ignored because the next report replaces this one.
      socket.send(frame, port, host, () => {});
    }
  }

  #receive(frame: Buffer, from: string): void {
    try {
      const message = decodeNodeMessage(frame);
      if (message !== undefined) this.#listener(message, from);
    } catch (error) {
      this.#options.reportFailure?.("datagram", error);
    }
  }

  onMessage(listener: (message: NodeMessage, from: string) => void): void {
    this.#listener = listener;
  }

  close(): void {
    this.#closed = true;
    this.#socket?.close();
    this.#socket = undefined;
  }
}
