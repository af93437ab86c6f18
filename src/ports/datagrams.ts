import type { GossipMessage } from "../core/membership/types.ts";

/** Unreliable, signed messages between nodes. */
export type Datagrams = {
  /** Sends a message to `HOST:PORT`, split into as many datagrams as its items need. */
  send(to: string, message: GossipMessage): void;
  /** Registers the listener for messages with a valid signature and their sender's address. */
  onMessage(listener: (message: GossipMessage, from: string) => void): void;
  close(): void;
};
