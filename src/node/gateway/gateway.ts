import type { Millis } from "../../core/clock.ts";
import type { DryRun, DryRunQuery } from "../../core/gateway/dry_run.ts";
import { findLatestStart } from "../../core/gateway/stopping.ts";
import type { SoftwareVersion } from "../../core/ids.ts";
import type { CallerSink, ProxiedRequest } from "../../ports/gateway.ts";
import type {
  ModelRequest,
  ModelResult,
  NodeCallHandler,
} from "../../ports/nodes.ts";
import type { PermitAnswer, PermitRequest } from "../../ports/permits.ts";
import type { StreamQuery } from "../../ports/streams.ts";
import type { GatewayContext } from "./context.ts";
import { type GatewayOptions, GatewayTasks } from "./gateway_tasks.ts";
import { ProcessChecks } from "./process_checks.ts";
import { planRequest } from "./requests/request_intake.ts";

/** Handle by which a front end reports what happens on the connection of a caller. */
export type RequestHandle = {
  cancel(): void;
  /** The caller's connection takes bytes again after a write that it did not take at once. */
  resume(): void;
  /** The caller's connection does not take the bytes that wait for it; the response is broken off. */
  stall(detail: string): void;
};

/** Routes requests to the servers that the operator's configuration names. */
export class Gateway implements NodeCallHandler {
  readonly context: GatewayContext;
  readonly #options: GatewayOptions;
  readonly #tasks: GatewayTasks;
  readonly #checks: ProcessChecks;

  private constructor(options: GatewayOptions) {
    this.#options = options;
    this.#tasks = GatewayTasks.create(options);
    this.context = this.#tasks.context;
    this.#checks = ProcessChecks.create({
      ...options,
      onDrift: () => this.#distrustLeases(),
      onCheck: () => this.#removeExpired(),
    });
  }

  static create(options: GatewayOptions): Gateway {
    const gateway = new Gateway(options);
    const { installation, notices } = gateway.#tasks;
    options.feed.follow((change) => installation.apply(change));
    options.notices.follow((server, notice) => notices.receive(server, notice));
    gateway.#checks.run();
    return gateway;
  }

  /** Whether the node should receive new callers. */
  get isReady(): boolean {
    return (
      this.context.stop === undefined && this.#tasks.installation.isComplete
    );
  }

  /** Earliest time at which a signal that is handled now can have been sent. */
  get signalTime(): Millis {
    return this.#checks.pauses.findEventTime();
  }

  /** Number of requests in progress. */
  get openRequests(): number {
    return this.#tasks.requests.size;
  }

  /** Serves one request; the sink may receive a refusal before this returns. */
  open(request: ProxiedRequest, sink: CallerSink): RequestHandle {
    const { context } = this;
    const plan = planRequest(context, request);
    if ("code" in plan) {
      sink.refuse(plan);
      return closedHandle;
    }
    const { nodes, requests, selector, streams, incarnations } = this.#tasks;
    const { usage, paces, guard } = this.#tasks;
    return requests.start({
      context,
      selector,
      takePermit: nodes.permits.take,
      streams,
      incarnations,
      usage,
      paces,
      relays: { peers: nodes.relayPeers, links: this.#options.relayLinks },
      guard,
      quotas: nodes.quotas,
      request,
      plan,
      sink,
    });
  }

  /** Describes where a request would go now, without sending it. */
  dryRun(query: DryRunQuery): DryRun {
    return this.#tasks.dryRun.describe(query);
  }

  /** Handles a request of another node for an adapter on an engine that this node owns. */
  acquire(request: Parameters<NodeCallHandler["acquire"]>[0]) {
    return this.#tasks.engineControllers.acquire(request);
  }

  /** Handles a request of another node for a base model on an engine that this node owns. */
  requestModel(request: ModelRequest): Promise<ModelResult> {
    return this.#tasks.engineControllers.requestModel(request);
  }

  /** Handles a request of another node for the right to send to a server that has a limit. */
  requestPermit(request: PermitRequest): Promise<PermitAnswer> {
    return this.#tasks.nodes.permits.request(request);
  }

  /** Handles the question of another node which software version began a stream. */
  async findStream(query: StreamQuery): Promise<SoftwareVersion | undefined> {
    return this.#tasks.streams.find(query);
  }

  /** Reports the node as not ready; requests that can end before `exitAt` are still served. */
  startDraining(exitAt: Millis): void {
    const startedAt = this.context.now();
    this.context.stop = { startedAt, exitAt, findLatestStart };
    this.#options.journal.record("drainStarted", {
      open: this.#tasks.requests.size,
      timeLeft: Math.round(exitAt - startedAt),
    });
  }

  /** Resolves once no request is in progress. */
  whenIdle(): Promise<void> {
    return this.#tasks.requests.whenIdle();
  }

  /** Refuses every request that no server can have started. */
  refuseWaiting(): void {
    this.#tasks.requests.refuseWaiting();
  }

  /** Ends every request that is still in progress, shortly before the process exits. */
  endAll(): void {
    this.#tasks.requests.endAll();
  }

  /** Releases the leases and ends all tasks. */
  async stop(): Promise<void> {
    this.#checks.stop();
    await this.#tasks.stop();
  }

  /** Another node may have claimed the leases during a pause of the process. */
  #distrustLeases(): void {
    this.#tasks.nodes.leases.invalidate();
    this.#tasks.nodes.permits.postpone();
  }

  #removeExpired(): void {
    const { installation, paceExchange, nodes } = this.#tasks;
    this.context.reach.check();
    installation.applyDue();
    this.context.availability.removeEnded();
    paceExchange.removeEnded();
    nodes.permits.removeGone((id) => this.context.directory.servers.has(id));
  }
}

const closedHandle: RequestHandle = {
  cancel() {},
  resume() {},
  stall() {},
};
