import { createSocket, type Socket } from "node:dgram";
import { isIPv6 } from "node:net";
import type { Clock } from "../../core/clock.ts";
import type { GossipMessage } from "../../core/membership/types.ts";
import type { MetricName } from "../../core/observe/metrics.ts";
import type { Datagrams } from "../../ports/datagrams.ts";
import type { Journal, Meter } from "../../ports/journal.ts";
import type { Keyring } from "../keys/keyring.ts";
import { FrameCodec, frameOverheadBytes } from "./frame.ts";
import { decodeMessage, encodeMessage } from "./message_codec.ts";

/** Maximum datagram size, in bytes; with headers it stays below the smallest common path MTU. */
export const maxDatagramBytes = 1_200;
/** Bytes reserved for the id of the signing key. */
const keyIdBytes = 64;
/** Maximum size of the message body in one datagram, in bytes. */
export const maxBodyBytes = maxDatagramBytes - frameOverheadBytes - keyIdBytes;
/** Size of the IP and UDP headers, which the traffic counters include, in bytes. */
export const packetHeaderBytes = 28;

/** Options of a node's gossip socket. */
export type UdpOptions = {
  readonly host: string;
  readonly port: number;
  readonly keyring: Keyring;
  readonly clock: Clock;
  readonly journal: Journal;
  readonly meter: Meter;
};

/** Gossip messages as signed UDP datagrams. */
export class UdpDatagrams implements Datagrams {
  readonly #socket: Socket;
  readonly #frameCodec: FrameCodec;
  readonly #options: UdpOptions;
  #listener: (message: GossipMessage, from: string) => void = () => {};

  /** Binds the socket; rejects when the address cannot be used. */
  static async open(options: UdpOptions): Promise<UdpDatagrams> {
    const { host, port } = options;
    const socket = createSocket(isIPv6(host) ? "udp6" : "udp4");
    await new Promise<void>((resolve, reject) => {
      socket.once("error", reject);
      socket.bind(port, host, () => {
        socket.off("error", reject);
        resolve();
      });
    });
    return new UdpDatagrams(socket, options);
  }

  private constructor(socket: Socket, options: UdpOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#frameCodec = FrameCodec.create(options);
    socket.on("message", (frame, sender) => {
      const host =
        sender.family === "IPv6" ? `[${sender.address}]` : sender.address;
      this.#receive(frame, `${host}:${sender.port}`);
    });
    socket.on("error", () => this.#count("gossip_socket_errors_total"));
  }

  /** Port that the socket is bound to. */
  get port(): number {
    return this.#socket.address().port;
  }

  send(to: string, message: GossipMessage): void {
    const colon = to.lastIndexOf(":");
    const host = to.slice(0, colon).replace(/^\[|\]$/g, "");
    const { bodies, dropped } = encodeMessage(message, maxBodyBytes);
    if (dropped > 0) this.#count("gossip_items_too_large_total", dropped);
    for (const body of bodies) {
      const frame = this.#frameCodec.encode(body);
      this.#countBytes("sent", frame);
      this.#sendFrame(frame, { host, port: Number(to.slice(colon + 1)) });
    }
  }

  /** Sends a frame; the socket throws for a port out of range. */
  #sendFrame(frame: Buffer, to: { host: string; port: number }): void {
    const countError = () => this.#count("gossip_send_errors_total");
    try {
      this.#socket.send(frame, to.port, to.host, (error) => {
        if (error !== null) countError();
      });
    } catch {
      // Counted like any other datagram that is not sent; probes tell that a node does not answer.
      countError();
    }
  }

  onMessage(listener: (message: GossipMessage, from: string) => void): void {
    this.#listener = listener;
  }

  close(): void {
    this.#socket.close();
  }

  #receive(frame: Buffer, from: string): void {
    this.#countBytes("received", frame);
    if (frame.length > maxDatagramBytes) {
      this.#reject("size");
      return;
    }
    const body = this.#frameCodec.open(frame);
    if (typeof body === "string") {
      this.#reject(body);
      return;
    }
    const message = decodeMessage(body);
    if (message === undefined) this.#reject("body");
    else this.#listener(message, from);
  }

  #reject(reason: string): void {
    this.#options.meter.count("gossip_refused_total", { reason });
    if (reason !== "signature") return;
    this.#options.journal.record("signatureRejected", { listener: "gossip" });
  }

  #countBytes(direction: "sent" | "received", frame: Buffer): void {
    const bytes = frame.length + packetHeaderBytes;
    this.#options.meter.count("gossip_bytes_total", { direction }, bytes);
    this.#options.meter.count("gossip_datagrams_total", { direction });
  }

  #count(metric: MetricName, amount = 1): void {
    this.#options.meter.count(metric, {}, amount);
  }
}
