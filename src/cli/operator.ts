import { Keyring, readKeyFile } from "../adapters/keys/keyring.ts";
import {
  createOperatorClient,
  type OperatorClient,
} from "../adapters/peers/operator_client.ts";
import { RealClock } from "../adapters/time/real_clock.ts";
import { refuse } from "../core/results/refusal.ts";
import { exitWithMessage, exitWithRefusal } from "./exit.ts";

/** Arguments of all commands that call running nodes. */
export const operatorArgs = {
  nodes: {
    type: "string",
    required: true,
    description: "Comma-separated peer addresses (IP:PORT) of nodes",
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

/** Client of one node and its address. */
export type NodeConnection = {
  readonly address: string;
  readonly client: OperatorClient;
};

/** Creates clients of all nodes given on the command line. */
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

/** Result of a call to one node, or its error. */
export type NodeReply<T> =
  | { readonly address: string; readonly value: T }
  | { readonly address: string; readonly error: string };

/** Calls all nodes concurrently; a failed call does not affect the others. */
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

/** Returns the result of the first reachable node; exits if a node refuses the call or none is reachable. */
export async function callFirstReachable<T>(
  nodes: readonly NodeConnection[],
  call: (client: OperatorClient) => Promise<T>,
): Promise<T> {
  const errors: string[] = [];
  for (const { address, client } of nodes) {
    try {
      return await call(client);
    } catch (error) {
      // Only unreachable nodes are skipped; a refusal is final.
      if (!isUnreachable(error)) exitWithMessage(describeError(error));
      errors.push(`${address}: ${describeError(error)}`);
    }
  }
  return exitWithRefusal(
    refuse("nodeUnreachable", errors.join("; ") || "No node address was given"),
  );
}

function isUnreachable(error: unknown): boolean {
  const { cause } = error as { cause?: unknown };
  return cause instanceof Error && /fetch failed|abort/i.test(cause.message);
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
