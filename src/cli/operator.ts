import { Keyring, readKeyFile } from "../adapters/keys/keyring.ts";
import {
  createOperatorClient,
  type OperatorClient,
} from "../adapters/peers/operator_client.ts";
import { RealClock } from "../adapters/time/real_clock.ts";
import { refuse } from "../core/results/refusal.ts";
import { exitWithMessage, exitWithRefusal } from "./exit.ts";

/** Arguments of every call to running nodes. */
export const operatorArgs = {
  nodes: {
    type: "string",
    required: true,
    description: "Peer addresses of nodes, IP:PORT, separated by commas",
  },
  keys: {
    type: "string",
    required: true,
    description: "Path of the key file",
  },
  json: {
    type: "boolean",
    default: false,
    description: "Print JSON instead of text",
  },
} as const;

/** A node that an operator calls. */
export type NodeConnection = {
  readonly address: string;
  readonly client: OperatorClient;
};

/** Clients of all nodes named on the command line. */
export function connectNodes(args: {
  nodes: string;
  keys: string;
}): NodeConnection[] {
  const keys = readKeyFile(args.keys).caseOf({
    Left: (error) => exitWithMessage(error),
    Right: (value) => value,
  });
  const keyring = Keyring.create(keys);
  const clock = RealClock.create();
  return args.nodes
    .split(",")
    .map((address) => address.trim())
    .filter((address) => address !== "")
    .map((address) => ({
      address,
      client: createOperatorClient({ address, keyring, clock }),
    }));
}

/** Result of a call to one node, or the reason why there is none. */
export type NodeReply<T> =
  | { readonly address: string; readonly value: T }
  | { readonly address: string; readonly error: string };

/** Calls all nodes at once; one that does not answer does not stop the others. */
export function callAll<T>(
  nodes: readonly NodeConnection[],
  call: (client: OperatorClient) => Promise<T>,
): Promise<NodeReply<T>[]> {
  return Promise.all(
    nodes.map(({ address, client }) =>
      call(client).then(
        (value) => ({ address, value }),
        (error: unknown) => ({ address, error: describeError(error) }),
      ),
    ),
  );
}

/** The first answer of the nodes, or the end of the program. */
export async function callFirstReachable<T>(
  nodes: readonly NodeConnection[],
  call: (client: OperatorClient) => Promise<T>,
): Promise<T> {
  const faults: string[] = [];
  for (const { address, client } of nodes) {
    try {
      return await call(client);
    } catch (error) {
      // A refusal is an answer; only an unreachable node is skipped.
      if (!isUnreachable(error)) exitWithMessage(describeError(error));
      faults.push(`${address}: ${describeError(error)}`);
    }
  }
  return exitWithRefusal(
    refuse("nodeUnreachable", faults.join("; ") || "No node was named"),
  );
}

function isUnreachable(error: unknown): boolean {
  const { cause } = error as { cause?: unknown };
  return cause instanceof Error && /fetch failed|abort/i.test(cause.message);
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
