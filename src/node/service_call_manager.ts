import { Left } from "purify-ts";
import {
  type Claim,
  formatClaimKey,
  outcomeGrace,
} from "../core/booking/claim.ts";
import { type Clock, type Millis, millis } from "../core/clock.ts";
import {
  type AttemptToken,
  brandString,
  type Digest,
  type LeaseId,
  type NodeId,
  type RowKey,
  type ServiceName,
} from "../core/ids.ts";
import { type Refusal, refuse } from "../core/results/refusal.ts";
import type { Journal, Meter } from "../ports/journal.ts";
import type { TableService } from "../ports/table.ts";
import { ClaimSweep } from "./claim_sweep.ts";
import { ClaimWriter } from "./claim_writer.ts";
import { ServerPool, type ServiceServer } from "./server_pool.ts";
import {
  classifyCall,
  digestCall,
  digestKey,
  type IncomingServiceCall,
  type LookupRoute,
} from "./service_call.ts";
import {
  type CallReply,
  type PlannedCall,
  ServiceRequest,
} from "./service_request.ts";
import { withTimeout } from "./timeout.ts";

export type { ServiceServer } from "./server_pool.ts";
export type {
  IncomingServiceCall,
  LookupRoute,
} from "./service_call.ts";
export type { CallReply } from "./service_request.ts";

/** Maximum number of booking calls at one node, including those whose outcome is not recorded yet. */
export const maxCallsInFlight = 1_000;
/** Timeout of one read of a session row, in ms. */
const sessionReadTimeout = millis(1_000);
/** `Retry-After` of calls refused because of a temporary condition, in ms. */
const busyRetryAfter = millis(1_000);

/** Options of the service call manager. */
export type ServiceCallManagerOptions = {
  readonly clock: Clock;
  readonly table: TableService;
  /** Returns the servers of a service in their current state; undefined for an unknown service. */
  readonly listServers: (
    service: ServiceName,
  ) => readonly ServiceServer[] | undefined;
  /** Routes of each service whose calls may be repeated. */
  readonly lookups: ReadonlyMap<ServiceName, readonly LookupRoute[]>;
  readonly journal: Journal;
  readonly meter: Meter;
  readonly random: () => number;
  readonly nodeId: NodeId;
  /** Lease under which the node may act; undefined without one. */
  readonly currentLease: () => LeaseId | undefined;
  /** Time at which the node exits; undefined while it does not stop. */
  readonly exitAt?: () => Millis | undefined;
  /** Services whose expired claims this node removes; none by default. */
  readonly sweepServices?: readonly ServiceName[];
  /** Called when a server refuses a call because it is leaving. */
  readonly onLeaving?: (service: ServiceName, server: string) => void;
};

type OpenKey = { readonly body: Digest; writes: number; closed: boolean };

/** Runs the booking calls of one node. */
export class ServiceCallManager {
  readonly #options: ServiceCallManagerOptions;
  readonly #writer: ClaimWriter;
  readonly #sweep: ClaimSweep;
  readonly #pools = new Map<ServiceName, ServerPool>();
  readonly #requests = new Set<ServiceRequest>();
  /** Idempotency keys with a call in progress or an unrecorded outcome at this node. */
  readonly #keys = new Map<RowKey, OpenKey>();
  #tokens = 0;
  /** Number of calls in progress without an idempotency key. */
  #unkeyedCalls = 0;
  #idleListeners: (() => void)[] = [];

  static create(options: ServiceCallManagerOptions): ServiceCallManager {
    return new ServiceCallManager(options);
  }

  private constructor(options: ServiceCallManagerOptions) {
    this.#options = options;
    this.#writer = ClaimWriter.create(options);
    this.#sweep = ClaimSweep.create({
      ...options,
      services: options.sweepServices ?? [],
    });
  }

  /** Number of calls in progress or with an outcome that is not recorded yet. */
  get outstanding(): number {
    return this.#unkeyedCalls + this.#keys.size;
  }

  /** Runs one call; the reply states whether a booking service executed it. */
  call(call: IncomingServiceCall): Promise<CallReply> {
    const { meter, listServers, lookups } = this.#options;
    if (listServers(call.service) === undefined) {
      return refuseCall(refuse("unknownService", call.service));
    }
    if (this.outstanding >= maxCallsInFlight) {
      meter.count("booking_calls_rejected_total");
      return refuseCall(
        refuse("tooManyInFlight", "Too many booking calls at this node", {
          retryAfter: busyRetryAfter,
        }),
      );
    }
    const kind = classifyCall(call, lookups.get(call.service) ?? []);
    meter.count("booking_calls_total", { kind });
    if (kind !== "keyed") {
      return this.#run(call, { kind, claim: undefined, key: undefined });
    }
    return this.#callWithKey(call);
  }

  /** Resolves when no call is in progress and all outcomes are recorded. */
  waitIdle(): Promise<void> {
    if (this.outstanding === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleListeners.push(resolve));
  }

  /** Refuses the calls in progress; their outcomes are still recorded. */
  giveUp(): void {
    for (const request of [...this.#requests]) request.giveUp();
  }

  /** Stops without waiting for calls or outcomes, like a killed process. */
  stop(): void {
    this.#writer.stop();
    this.#sweep.stop();
    for (const request of this.#requests) request.stop();
    this.#requests.clear();
  }

  #callWithKey(call: IncomingServiceCall): Promise<CallReply> {
    const { currentLease, clock, nodeId } = this.#options;
    const lease = currentLease();
    if (lease === undefined) {
      return refuseCall(
        refuse("claimUnavailable", "The node holds no session lease", {
          retryAfter: busyRetryAfter,
        }),
      );
    }
    const body = digestCall(call);
    const key = formatClaimKey(call.service, digestKey(call));
    const open = this.#keys.get(key);
    if (open !== undefined) {
      return refuseCall(
        open.body === body
          ? refuse(
              "callInProgress",
              "This node already runs a call with the key",
              {
                retryAfter: busyRetryAfter,
              },
            )
          : refuse("keyReused", "Method, path or body differs"),
      );
    }
    const expiresAt =
      clock.wallNow() + (call.deadline - clock.now()) + outcomeGrace;
    const token = this.#nextToken();
    const claim: Claim = {
      state: "claimed",
      body,
      node: nodeId,
      lease,
      requestId: call.requestId,
      token,
      write: token,
      expiresAt,
      writtenAt: clock.wallNow(),
    };
    this.#keys.set(key, { body, writes: 0, closed: false });
    return this.#run(call, { kind: "keyed", claim, key });
  }

  #run(
    call: IncomingServiceCall,
    plan: Pick<PlannedCall, "kind" | "claim"> & { key: RowKey | undefined },
  ): Promise<CallReply> {
    const { method, path, contentType, body } = call;
    const pool = this.#poolOf(call.service);
    pool.deposit();
    if (plan.key === undefined) this.#unkeyedCalls++;
    return new Promise((resolve) => {
      const request: ServiceRequest = ServiceRequest.create({
        ...this.#options,
        call: {
          kind: plan.kind,
          requestId: call.requestId,
          deadlineAt: call.deadline,
          claim: plan.claim,
          request: { method, path, contentType, body },
        },
        pool,
        write: (claimWrite, listener) =>
          this.#write(plan.key, claimWrite, listener),
        nextToken: () => this.#nextToken(),
        hasSession: (node, lease) => this.#hasSession(node, lease),
        onReply: resolve,
        onClose: () => queueMicrotask(() => this.#close(request, plan.key)),
      });
      this.#requests.add(request);
    });
  }

  #write(
    key: RowKey | undefined,
    claimWrite: Omit<Parameters<ClaimWriter["write"]>[0], "key">,
    listener: Parameters<ClaimWriter["write"]>[1],
  ): void {
    const open = key && this.#keys.get(key);
    if (key === undefined || open === undefined) return;
    open.writes++;
    this.#writer.write({ ...claimWrite, key }, (result) => {
      open.writes--;
      this.#releaseKey(key);
      listener(result);
    });
  }

  #close(request: ServiceRequest, key: RowKey | undefined): void {
    this.#requests.delete(request);
    if (key === undefined) {
      this.#unkeyedCalls--;
      this.#checkIdle();
      return;
    }
    const open = this.#keys.get(key);
    if (open !== undefined) open.closed = true;
    this.#releaseKey(key);
  }

  #releaseKey(key: RowKey): void {
    const open = this.#keys.get(key);
    if (open?.closed !== true || open.writes > 0) return;
    this.#keys.delete(key);
    this.#checkIdle();
  }

  #checkIdle(): void {
    if (this.outstanding > 0) return;
    const listeners = this.#idleListeners;
    this.#idleListeners = [];
    for (const listener of listeners) listener();
  }

  /** Reads whether a session still holds the lease; undefined if the table did not answer. */
  async #hasSession(
    node: NodeId,
    lease: LeaseId,
  ): Promise<boolean | undefined> {
    const { clock, table } = this.#options;
    const read = table.read(brandString(`session/${node}`)).then((answer) =>
      answer.caseOf<boolean | undefined>({
        Left: () => undefined,
        Right: (row) =>
          row !== undefined &&
          (row.value as { lease?: unknown } | null)?.lease === lease,
      }),
    );
    return await withTimeout(clock, read, {
      timeout: sessionReadTimeout,
      fallback: undefined,
    });
  }

  #poolOf(service: ServiceName): ServerPool {
    const known = this.#pools.get(service);
    if (known !== undefined) return known;
    const { clock, random, meter, journal, listServers, onLeaving } =
      this.#options;
    const pool = ServerPool.create({
      clock,
      random,
      meter,
      journal,
      servers: () => listServers(service) ?? [],
      onLeaving: (server) => {
        journal.record("serverLeaving", { service, server });
        onLeaving?.(service, server);
      },
    });
    this.#pools.set(service, pool);
    return pool;
  }

  #nextToken(): AttemptToken {
    return brandString(`${this.#options.nodeId}.${this.#tokens++}`);
  }
}

function refuseCall(refusal: Refusal): Promise<CallReply> {
  return Promise.resolve(Left(refusal));
}
