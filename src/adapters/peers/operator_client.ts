import { createTRPCClient, httpLink } from "@trpc/client";
import { fetch } from "undici";
import type { Clock } from "../../core/clock.ts";
import type { Keyring } from "../keys/keyring.ts";
import type { OperatorRouter } from "./operator_router.ts";
import { trpcPath } from "./peer_server.ts";
import { signatureHeader, signMessage } from "./signature.ts";

/** Timeout of an operator call, in ms. */
const callTimeoutMillis = 30_000;

/** Creates a tRPC client for one node's operator calls that signs each request. */
export function createOperatorClient(options: {
  address: string;
  keyring: Keyring;
  clock: Clock;
}) {
  const { address, keyring, clock } = options;
  return createTRPCClient<OperatorRouter>({
    links: [
      httpLink({
        url: `http://${address}${trpcPath}`,
        fetch: async (url, init) => {
          const target = new URL(String(url));
          const method = init?.method ?? "GET";
          const body = typeof init?.body === "string" ? init.body : "";
          const path = `${target.pathname}${target.search}`;
          const signature = signMessage(
            { method, path, body },
            { keyring, clock },
          );
          const response = await fetch(target, {
            method,
            ...(body === "" ? {} : { body }),
            headers: {
              "content-type": "application/json",
              [signatureHeader]: signature,
            },
            signal: AbortSignal.timeout(callTimeoutMillis),
          });
          return response as unknown as Response;
        },
      }),
    ],
  });
}

/** tRPC client for one node's operator calls. */
export type OperatorClient = ReturnType<typeof createOperatorClient>;
