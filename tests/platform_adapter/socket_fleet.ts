import type { BackendServer } from "../../src/core/gateway/servers.ts";
import { SocketGateway } from "./socket_gateway.ts";
import { SocketNetwork } from "./socket_network.ts";

/** Several nodes with real connections to the same servers. */
export class SocketFleet {
  readonly nodes: readonly SocketGateway[];

  private constructor(nodes: readonly SocketGateway[]) {
    this.nodes = nodes;
  }

  static create(count: number): SocketFleet {
    const network = SocketNetwork.create();
    return new SocketFleet(
      Array.from({ length: count }, (_, at) =>
        SocketGateway.create({}, { machine: `n${at}`, network }),
      ),
    );
  }

  register(...servers: BackendServer[]): void {
    for (const node of this.nodes) node.register(...servers);
  }

  async stop(): Promise<void> {
    for (const node of this.nodes) await node.stop();
  }
}
