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

/** Creates a function that sends a message to all other nodes, twice since datagrams may be lost. */
export function createPoisonBroadcast(
  options: PoisonBroadcastOptions,
): (message: PoisonMessage) => void {
  const { clock, channel, listAddresses } = options;
  const send = (message: PoisonMessage) => {
    for (const address of listAddresses()) channel.send(address, message);
  };
  return (message) => {
    send(message);
    // A late copy of a trial's announcement would outlast the trial.
    if (message.type === "poison")
      clock.schedule(repeatDelay, () => send(message));
  };
}
