import { createTRPCClient, httpLink } from "@trpc/client";
import { type Dispatcher, Pool } from "undici";
import { z } from "zod";
import { type Millis, millis } from "../../core/clock.ts";
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
const acquireTimeout = millis(900);
/** Timeout of `findStream`, in ms; it is answered from memory. */
const streamTimeout = millis(250);
/** Timeout for opening a connection to another node, in ms. */
const connectTimeoutMillis = 500;
/** Maximum size of a response, in bytes. */
const maxResponseBytes = 8 * 1024 * 1024;
/** Maximum number of concurrent calls to one node. */
const maxConnections = 32;

type Peer = {
  readonly client: ReturnType<typeof createTRPCClient<NodeRouter>>;
  readonly pool: Pool;
};

type TrpcFetch = NonNullable<Parameters<typeof httpLink>[0]["fetch"]>;

type CallOptions = { readonly signal: AbortSignal };

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
    const answer = await this.#call(
      address,
      acquireTimeout,
      (client, options) => client.acquire.mutate(request, options),
    );
    // The cause is not reported because the caller tries another owner in any case.
    return answer ?? { kind: "refused", reason: "unreachable" };
  }

  async requestModel(
    address: string,
    request: ModelRequest,
  ): Promise<ModelResult> {
    const answer = await this.#call(
      address,
      acquireTimeout,
      (client, options) => client.requestModel.mutate(request, options),
    );
    // As for `acquire`, another owner is asked next.
    return answer ?? { kind: "refused", reason: "unreachable" };
  }

  requestPermit(
    address: string,
    request: PermitRequest,
    timeout: Millis,
  ): Promise<PermitAnswer | undefined> {
    const input = { ...request, except: [...request.except] };
    return this.#call(address, timeout, (client, options) =>
      client.requestPermit.mutate(input, options),
    );
  }

  async findStream(
    address: string,
    query: StreamQuery,
  ): Promise<SoftwareVersion | undefined> {
    const version = await this.#call(
      address,
      streamTimeout,
      (client, options) => client.findStream.mutate(query, options),
    );
    return typeof version === "string"
      ? brandString<SoftwareVersion>(version)
      : undefined;
  }

  followRows(
    address: string,
    request: RowRequest,
    timeout: Millis,
  ): Promise<readonly RowDelivery[] | undefined> {
    return this.#call(address, timeout, async (client, options) => {
      const frames = await client.followRows.mutate(request, options);
      return z.array(deliveryFrame).parse(frames).map(decodeDelivery);
    });
  }

  /** Makes one call; undefined if the node does not answer properly within `timeout` ms. */
  async #call<Answer>(
    address: string,
    timeout: Millis,
    run: (client: Peer["client"], options: CallOptions) => Promise<Answer>,
  ): Promise<Answer | undefined> {
    const signal = AbortSignal.timeout(timeout);
    try {
      const { client } = this.#getOrCreatePeer(address);
      return await run(client, { signal });
    } catch {
      // The caller records that the node did not answer, or asks another one.
      this.#disconnect(address);
      return undefined;
    }
  }

  /** Drops connections that may no longer respond; the next call opens new ones. */
  #disconnect(address: string): void {
    const peer = this.#peers.get(address);
    this.#peers.delete(address);
    peer?.pool.close().catch(() => {});
  }

  #getOrCreatePeer(address: string): Peer {
    const existing = this.#peers.get(address);
    if (existing !== undefined) return existing;
    const pool = new Pool(`http://${address}`, {
      connect: { timeout: connectTimeoutMillis },
      connections: maxConnections,
      pipelining: 1,
      maxResponseSize: maxResponseBytes,
    });
    const url = `http://${address}`;
    const client = createTRPCClient<NodeRouter>({
      links: [httpLink({ url, fetch: createFetch(pool) })],
    });
    const peer = { client, pool };
    this.#peers.set(address, peer);
    return peer;
  }
}

/** The part of the Fetch API that tRPC needs, over a pool; it takes half the processor time of the whole API. */
function createFetch(pool: Pool): TrpcFetch {
  return async (url, init) => {
    const { pathname, search } = new URL(String(url));
    const { statusCode, body } = await pool.request({
      method: (init?.method ?? "POST") as Dispatcher.HttpMethod,
      path: `${pathname}${search}`,
      headers: { "content-type": "application/json" },
      body: init?.body as string,
      signal: init?.signal ?? null,
    });
    return {
      ok: statusCode < 400,
      status: statusCode,
      json: () => body.json(),
    };
  };
}
