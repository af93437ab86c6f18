import { createTRPCClient, httpLink } from "@trpc/client";
import { Agent, fetch } from "undici";
import { z } from "zod";
import type { Millis } from "../../core/clock.ts";
import { brandString, type SoftwareVersion } from "../../core/ids.ts";
import type {
  AcquireResult,
  ModelRequest,
  ModelResult,
  NodeLinks,
} from "../../ports/nodes.ts";
import type { PermitAnswer, PermitRequest } from "../../ports/permits.ts";
import type { RowDelivery, RowPeers, RowRequest } from "../../ports/rows.ts";
import type { StreamQuery } from "../../ports/streams.ts";
import type { NodeRouter } from "./node_router.ts";
import { decodeDelivery, deliveryFrame } from "./row_frames.ts";

/** Timeout of `acquire`, in ms; an owner holds the call for at most 600 ms. */
const acquireTimeoutMillis = 900;
/** Timeout of `findStream`, in ms; it is answered from memory. */
const streamTimeoutMillis = 250;
/** Timeout for opening a connection to another node, in ms. */
const connectTimeoutMillis = 500;
/** Maximum size of a response, in bytes. */
const maxResponseBytes = 8 * 1024 * 1024;
/** Maximum number of concurrent calls to one node. */
const maxConnections = 32;

type Peer = {
  readonly client: ReturnType<typeof createTRPCClient<NodeRouter>>;
  readonly agent: Agent;
};

/** Calls other nodes over tRPC. */
export class TrpcNodeLinks implements NodeLinks, RowPeers {
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
      const { client } = this.#getOrCreatePeer(address);
      return await client.acquire.mutate(request, { signal });
    } catch {
      // The cause is not reported because the caller tries another owner in any case.
      this.#disconnect(address);
      return { kind: "refused", reason: "unreachable" };
    }
  }

  async requestModel(
    address: string,
    request: ModelRequest,
  ): Promise<ModelResult> {
    const signal = AbortSignal.timeout(acquireTimeoutMillis);
    try {
      const { client } = this.#getOrCreatePeer(address);
      return await client.requestModel.mutate(request, { signal });
    } catch {
      // As for `acquire`, another owner is asked next.
      this.#disconnect(address);
      return { kind: "refused", reason: "unreachable" };
    }
  }

  async requestPermit(
    address: string,
    request: PermitRequest,
    timeout: Millis,
  ): Promise<PermitAnswer | undefined> {
    const signal = AbortSignal.timeout(timeout);
    try {
      const { client } = this.#getOrCreatePeer(address);
      return await client.requestPermit.mutate(
        { ...request, except: [...request.except] },
        { signal },
      );
    } catch {
      // The caller records that the node did not answer.
      this.#disconnect(address);
      return undefined;
    }
  }

  async findStream(
    address: string,
    query: StreamQuery,
  ): Promise<SoftwareVersion | undefined> {
    const signal = AbortSignal.timeout(streamTimeoutMillis);
    try {
      const { client } = this.#getOrCreatePeer(address);
      const version = await client.findStream.mutate(query, { signal });
      return version === null
        ? undefined
        : brandString<SoftwareVersion>(version);
    } catch {
      // The caller reads the rows of all nodes instead.
      this.#disconnect(address);
      return undefined;
    }
  }

  async followRows(
    address: string,
    request: RowRequest,
    timeout: Millis,
  ): Promise<readonly RowDelivery[] | undefined> {
    const signal = AbortSignal.timeout(timeout);
    try {
      const { client } = this.#getOrCreatePeer(address);
      const frames = await client.followRows.mutate(request, { signal });
      return z.array(deliveryFrame).parse(frames).map(decodeDelivery);
    } catch {
      // The caller records that the node did not answer.
      this.#disconnect(address);
      return undefined;
    }
  }

  /** Drops connections that may no longer respond; the next call opens new ones. */
  #disconnect(address: string): void {
    const peer = this.#peers.get(address);
    this.#peers.delete(address);
    peer?.agent.close().catch(() => {});
  }

  #getOrCreatePeer(address: string): Peer {
    const existing = this.#peers.get(address);
    if (existing !== undefined) return existing;
    const agent = new Agent({
      connect: { timeout: connectTimeoutMillis },
      connections: maxConnections,
      pipelining: 1,
      maxResponseSize: maxResponseBytes,
    });
    const client = createTRPCClient<NodeRouter>({
      links: [
        httpLink({
          url: `http://${address}`,
          fetch: async (url, init) => {
            const response = await fetch(String(url), {
              method: init?.method ?? "POST",
              body: init?.body as string,
              headers: { "content-type": "application/json" },
              signal: init?.signal ?? null,
              dispatcher: agent,
            });
            return response as unknown as Response;
          },
        }),
      ],
    });
    const peer = { client, agent };
    this.#peers.set(address, peer);
    return peer;
  }
}
