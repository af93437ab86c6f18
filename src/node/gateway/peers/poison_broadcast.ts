import { type Clock, millis } from "../../../core/clock.ts";
import type { NodeChannel, PoisonMessage } from "../../../ports/nodes.ts";

/** Delay of the second copy of a message, which replaces a lost first one, in ms. */
const repeatDelay = millis(250);

type PoisonBroadcastOptions = {
  readonly clock: Clock;
  readonly channel: NodeChannel;
  /** Peer addresses of all other nodes. */
  readonly listAddresses: () => readonly string[];
};

/** Sends a message to these nodes, or to all others. */
export type PoisonBroadcast = (
  message: PoisonMessage,
  addresses?: readonly string[],
) => void;

/** Creates a function that sends a message to other nodes, twice since datagrams may be lost. */
export function createPoisonBroadcast(
  options: PoisonBroadcastOptions,
): PoisonBroadcast {
  const { clock, channel, listAddresses } = options;
  return (message, addresses) => {
    const send = () => {
      for (const address of addresses ?? listAddresses())
        channel.send(address, message);
    };
    send();
    // A late copy of a trial's announcement would outlast the trial.
    if (message.type !== "trial") clock.schedule(repeatDelay, send);
  };
}
