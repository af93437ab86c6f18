import { createTRPCClient, httpLink } from "@trpc/client";
import { Agent, fetch } from "undici";
import type { AcquireResult, NodeLinks } from "../../ports/gateway.ts";
import type { NodeRouter } from "./node_router.ts";

/** Time for an owner to answer; it holds a request for an adapter for 0.6 s at most. */
const acquireTimeoutMillis = 900;
/** Time for a connection to another node, in ms. */
const connectTimeoutMillis = 500;
/** Calls in flight to one node. */
const maxConnections = 32;

type Peer = {
  readonly client: ReturnType<typeof createTRPCClient<NodeRouter>>;
  readonly agent: Agent;
};

/** Calls to other nodes over trpc. */
export class TrpcNodeLinks implements NodeLinks {
  readonly #peers = new Map<string, Peer>();

  static create(): TrpcNodeLinks {
    return new TrpcNodeLinks();
  }

  async acquire(
    address: string,
    request: Parameters<NodeLinks["acquire"]>[1],
  ): Promise<AcquireResult> {
    const signal = AbortSignal.timeout(acquireTimeoutMillis);
    try {
      const { client } = this.#obtain(address);
      return await client.acquire.mutate(request, { signal });
    } catch {
      // The reason does not matter: the request asks another owner.
      this.#renew(address);
      return { kind: "refused", reason: "unreachable" };
    }
  }

  /** Drops connections that may have gone silent. */
  #renew(address: string): void {
    const peer = this.#peers.get(address);
    this.#peers.delete(address);
    peer?.agent.close().catch(() => {});
  }

  #obtain(address: string): Peer {
    const known = this.#peers.get(address);
    if (known !== undefined) return known;
    const agent = new Agent({
      connect: { timeout: connectTimeoutMillis },
      connections: maxConnections,
      pipelining: 1,
    });
    const client = createTRPCClient<NodeRouter>({
      links: [
        httpLink({
          url: `http://${address}`,
          fetch: async (url, init) => {
            const answer = await fetch(String(url), {
              method: init?.method ?? "POST",
              body: init?.body as string,
              headers: { "content-type": "application/json" },
              signal: init?.signal ?? null,
              dispatcher: agent,
            });
            return answer as unknown as Response;
          },
        }),
      ],
    });
    const peer = { client, agent };
    this.#peers.set(address, peer);
    return peer;
  }
}
