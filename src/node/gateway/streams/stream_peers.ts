import { unknownVersion } from "../../../core/gateway/software_versions.ts";
import type { MachineName, RequestId } from "../../../core/ids.ts";
import { rankByRendezvous } from "../../../core/lease/rendezvous.ts";
import type { NodeChannel, NodeLinks } from "../../../ports/nodes.ts";
import type { StreamMessage, StreamQuery } from "../../../ports/streams.ts";

/** Number of other nodes that remember the origin of a stream. */
const copies = 2;

type StreamPeersOptions = {
  readonly machine: MachineName;
  readonly channel: NodeChannel;
  readonly nodeLinks: NodeLinks;
  /** All nodes, this one included; undefined until they are known. */
  readonly listMachines: () => readonly MachineName[] | undefined;
  readonly findAddress: (machine: MachineName) => string | undefined;
};

/** The other nodes that remember which version began a stream: the first ones in rendezvous order of its request. */
export class StreamPeers {
  readonly #options: StreamPeersOptions;

  private constructor(options: StreamPeersOptions) {
    this.#options = options;
  }

  static create(options: StreamPeersOptions): StreamPeers {
    return new StreamPeers(options);
  }

  /** Tells the nodes that remember a stream which version began it. */
  tell(stream: Omit<StreamMessage, "type" | "from">): void {
    const { machine: from, channel } = this.#options;
    for (const address of this.#findAddresses(stream.id))
      channel.send(address, { type: "stream", from, ...stream });
  }

  /** Asks the nodes that remember a stream; undefined if none of them knows it, the unknown version if its origin is open. */
  async ask(query: StreamQuery): Promise<StreamMessage["version"] | undefined> {
    const { nodeLinks } = this.#options;
    const answers = await Promise.all(
      this.#findAddresses(query.id).map((address) =>
        nodeLinks.findStream(address, query),
      ),
    );
    const isSettled = (version: StreamMessage["version"] | undefined) =>
      version !== undefined && version !== unknownVersion;
    return (
      answers.find(isSettled) ??
      answers.find((answer) => answer === unknownVersion)
    );
  }

  #findAddresses(id: RequestId): string[] {
    const { machine, listMachines, findAddress } = this.#options;
    const ranked = rankByRendezvous(id, listMachines() ?? []);
    const others = ranked.slice(0, copies).filter((name) => name !== machine);
    return others.flatMap((name) => findAddress(name) ?? []);
  }
}
