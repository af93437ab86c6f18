import { createSocket, type Socket } from "node:dgram";
import { isSocketAddress } from "../../core/socket_address.ts";
import type { Journal } from "../../ports/journal.ts";
import type { NodeChannel, NodeMessage } from "../../ports/nodes.ts";
import { decodeNodeMessage, encodeNodeMessage } from "./node_message_codec.ts";

/** Maximum size of a datagram, in bytes, below the usual path MTU. */
const maxDatagramBytes = 1_400;

/** Sends messages between nodes over UDP; a later message replaces a lost one. */
export class UdpNodeChannel implements NodeChannel {
  readonly #socket: Socket;
  readonly #journal: Journal;
  #closed = false;
  #listener: (message: NodeMessage, from: string) => void = () => {};

  private constructor(options: {
    host: string;
    port: number;
    journal: Journal;
  }) {
    this.#journal = options.journal;
    this.#socket = createSocket("udp4");
    this.#socket.on("error", (error) => {
      options.journal.record("useChannelFailed", { detail: error.message });
    });
    this.#socket.on("message", (frame, sender) => {
      const message = decodeNodeMessage(frame);
      if (message === undefined) return;
      this.#listener(message, `${sender.address}:${sender.port}`);
    });
    this.#socket.bind(options.port, options.host);
  }

  static create(options: {
    host: string;
    port: number;
    journal: Journal;
  }): UdpNodeChannel {
    return new UdpNodeChannel(options);
  }

  send(address: string, message: NodeMessage): void {
    // A repeated message may be due after the node has stopped.
    if (this.#closed) return;
    if (!isSocketAddress(address)) {
      const detail = `Cannot send to the address "${address.slice(0, 64)}"`;
      this.#journal.record("useChannelFailed", { detail });
      return;
    }
    const colon = address.lastIndexOf(":");
    const host = address.slice(0, colon);
    const port = Number(address.slice(colon + 1));
    for (const frame of encodeNodeMessage(message)) {
      if (frame.length > maxDatagramBytes) continue;
      // A send error is ignored because the next report replaces this one.
      this.#socket.send(frame, port, host, () => {});
    }
  }

  onMessage(listener: (message: NodeMessage, from: string) => void): void {
    this.#listener = listener;
  }

  close(): void {
    this.#closed = true;
    this.#socket.close();
  }
}
