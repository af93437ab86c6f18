import { Left, Right } from "purify-ts";
import type { Clock } from "../../core/clock.ts";
import type { NodeId } from "../../core/ids.ts";
import type { ConfigurationPeers } from "../../ports/sheets.ts";
import type { Keyring } from "../keys/keyring.ts";
import { createOperatorClient } from "./operator_client.ts";

/** Creates a port that fetches configuration revisions from other nodes over tRPC. */
export function createConfigurationPeers(options: {
  clock: Clock;
  keyring: Keyring;
  findAddress: (node: NodeId) => string | undefined;
}): ConfigurationPeers {
  const { clock, keyring, findAddress } = options;
  return {
    async fetch(node, after) {
      const address = findAddress(node);
      if (address === undefined) {
        return Left({ detail: `Node ${node} is not a known member` });
      }
      const client = createOperatorClient({ address, keyring, clock });
      try {
        const objects = await client.exportConfiguration.query({ after });
        return Right(objects.map((text) => Buffer.from(text, "base64")));
      } catch (error) {
        return Left({ detail: error instanceof Error ? error.message : "" });
      }
    },
  };
}
