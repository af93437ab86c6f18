import type { MachineName } from "../../../core/ids.ts";
import { rankByRendezvous } from "../../../core/lease/rendezvous.ts";
import type { PublishCommand } from "../../../core/poison/registry.ts";
import type { PoisonBroadcast } from "./poison_broadcast.ts";

/** Number of nodes that put together the crashes of a whole request. */
const keepers = 3;

type PoisonPublisherOptions = {
  readonly machine: MachineName;
  /** All nodes, this one included; undefined until they are known. */
  readonly listMachines: () => readonly MachineName[] | undefined;
  readonly findAddress: (machine: MachineName) => string | undefined;
  readonly send: PoisonBroadcast;
};

/**
 * Creates a function that publishes crash records. The crashes of a whole
 * request go to the first nodes in rendezvous order of its digest, since each
 * request that was running at a crash has a digest of its own; all nodes learn
 * of it once it is convicted.
 */
export function createPoisonPublisher(
  options: PoisonPublisherOptions,
): (command: PublishCommand) => void {
  const { machine: from, listMachines, findAddress, send } = options;
  return ({ digest, record, audience }) => {
    if (audience === "all")
      return send({ type: "poison", from, digest, record });
    const ranked = rankByRendezvous(digest, listMachines() ?? []);
    const others = ranked.slice(0, keepers).filter((name) => name !== from);
    const addresses = others.flatMap((name) => findAddress(name) ?? []);
    send({ type: "crashes", from, digest, record }, addresses);
  };
}
