import { type Clock, millis } from "../core/clock.ts";
import type { GossipMessage } from "../core/membership/types.ts";
import type { Datagrams } from "../ports/datagrams.ts";

/** Delay, loss and encoding of the network. */
export type NetworkOptions = {
  readonly clock: Clock;
  readonly random: () => number;
  /** One-way delay between two addresses, in ms. */
  readonly delay: (from: string, to: string) => number;
  /** Whether a datagram is lost. */
  readonly isLost: (from: string, to: string) => boolean;
  readonly encode: (message: GossipMessage) => Uint8Array[];
  readonly decode: (body: Uint8Array) => GossipMessage | undefined;
  /** Size of headers and signature of each datagram, in bytes. */
  readonly datagramOverhead: number;
};

/** Traffic counters of one address. */
export type Traffic = {
  sentBytes: number;
  receivedBytes: number;
  sentDatagrams: number;
  /** Largest datagram sent, in bytes. */
  largestDatagram: number;
};

type Listener = (message: GossipMessage, from: string) => void;

/** In-memory datagram network with delay and loss. */
export class DatagramNetwork {
  readonly traffic = new Map<string, Traffic>();
  readonly #options: NetworkOptions;
  readonly #listeners = new Map<string, Listener>();

  static create(options: NetworkOptions): DatagramNetwork {
    return new DatagramNetwork(options);
  }

  private constructor(options: NetworkOptions) {
    this.#options = options;
  }

  /** Opens the endpoint of one address; opening it again replaces the earlier endpoint. */
  open(address: string): Datagrams {
    const traffic = this.traffic.get(address) ?? {
      sentBytes: 0,
      receivedBytes: 0,
      sentDatagrams: 0,
      largestDatagram: 0,
    };
    this.traffic.set(address, traffic);
    return {
      send: (to, message) => this.#send({ from: address, to }, message),
      onMessage: (listener) => this.#listeners.set(address, listener),
      close: () => this.#listeners.delete(address),
    };
  }

  #send(
    route: { readonly from: string; readonly to: string },
    message: GossipMessage,
  ): void {
    const { encode, datagramOverhead, isLost, clock, delay } = this.#options;
    const { from, to } = route;
    const traffic = this.traffic.get(from) as Traffic;
    for (const body of encode(message)) {
      const size = body.length + datagramOverhead;
      traffic.sentBytes += size;
      traffic.sentDatagrams++;
      traffic.largestDatagram = Math.max(traffic.largestDatagram, size);
      if (isLost(from, to)) continue;
      clock.schedule(millis(delay(from, to)), () => {
        this.#deliver({ from, to }, { body, size });
      });
    }
  }

  #deliver(
    route: { readonly from: string; readonly to: string },
    datagram: { readonly body: Uint8Array; readonly size: number },
  ): void {
    const listener = this.#listeners.get(route.to);
    const message = this.#options.decode(datagram.body);
    if (listener === undefined || message === undefined) return;
    const traffic = this.traffic.get(route.to);
    if (traffic !== undefined) traffic.receivedBytes += datagram.size;
    listener(message, route.from);
  }
}
