import {
  type Cancel,
  type Millis,
  millis,
  sleep,
} from "../../../core/clock.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import { unknownVersion } from "../../../core/gateway/software_versions.ts";
import type { StreamBegin } from "../../../core/gateway/stream_judgement.ts";
import {
  recordOrigin,
  recordWholeStream,
  removeOldOrigins,
  type StreamOrigins,
} from "../../../core/gateway/stream_origins.ts";
import type {
  RequestId,
  ServiceName,
  SoftwareVersion,
} from "../../../core/ids.ts";
import type { StreamMessage, StreamQuery } from "../../../ports/streams.ts";
import type { TableService } from "../../../ports/table.ts";
import type { GatewayContext } from "../context.ts";
import type { IncarnationWatch } from "../servers/incarnation_watch.ts";
import type { StreamPeers } from "./stream_peers.ts";
import type { ServiceStreams } from "./stream_rows.ts";
import { StreamTable, type WrittenStreams } from "./stream_table.ts";
import { UnsettledStreams } from "./unsettled_streams.ts";
import { VersionsInSight } from "./versions_in_sight.ts";

/** Interval of the checks of the servers' versions, in ms. */
const checkInterval = millis(100);
/** Time that a write takes, and the checks before it, in ms. */
const writeMargin = 150;
/** Delay before the first read of the rows is repeated, in ms. */
const readRetryDelay = 1_000;

/** Interval at which an origin that is open is looked for again, and the longest wait for it, in ms. */
const settleInterval = millis(150);
const maxSettleTime = 1_500;

type StreamKeeperOptions = {
  readonly table: TableService;
  readonly peers: StreamPeers;
  readonly incarnations: IncarnationWatch;
  /** Time at which the entries of the servers were last known to be complete. */
  readonly viewTime: () => Millis;
};

/** The version that began a stream, if it is known, and where that was found. */
export type FoundOrigin = {
  readonly version: SoftwareVersion | undefined;
  readonly source:
    | "node"
    | "peer"
    | "rows"
    | "single-version"
    | "open"
    | "none";
};

/**
 * Knows which software version began a stream, so that it only goes on there.
 * While servers of several versions serve, the streams are also kept in the
 * table, one row a process, since all nodes may be restarted at once.
 */
export class StreamKeeper {
  readonly #context: GatewayContext;
  readonly #table: StreamTable;
  readonly #peers: StreamPeers;
  readonly #versions: VersionsInSight;
  /** Streams that this machine passed on. */
  readonly #own: StreamOrigins = new Map();
  readonly #unsettled: UnsettledStreams;
  readonly #incarnations: IncarnationWatch;
  /** Streams of the other nodes, from their rows. */
  readonly #others: StreamOrigins = new Map();
  /** Services of which several versions were in sight lately. */
  #mixed: ReadonlySet<ServiceName> = new Set();
  #reading: Promise<boolean> | undefined;
  #nextRead: Promise<boolean> | undefined;
  #cancel: Cancel = () => {};

  private constructor(context: GatewayContext, options: StreamKeeperOptions) {
    this.#context = context;
    this.#table = StreamTable.create(context, options.table);
    this.#peers = options.peers;
    this.#versions = VersionsInSight.create(context, {
      viewTime: options.viewTime,
      rowsReadAt: () => this.#table.confirmedAt,
    });
    this.#incarnations = options.incarnations;
    this.#unsettled = UnsettledStreams.create(context, {
      incarnations: options.incarnations,
      viewTime: options.viewTime,
      onSettled: (id, version) => this.#recordSettled(id, version),
    });
  }

  static create(
    context: GatewayContext,
    options: StreamKeeperOptions,
  ): StreamKeeper {
    const keeper = new StreamKeeper(context, options);
    keeper.#check();
    return keeper;
  }

  /** Records that the first event of a stream came from a server, on a connection that was opened at a time. */
  recordBegin(id: RequestId, begin: StreamBegin): void {
    const { service, softwareVersion } = begin.server;
    if (softwareVersion === undefined) return;
    const judgement = this.#unsettled.add(id, begin);
    const version =
      judgement?.kind === "settled" ? judgement.version : unknownVersion;
    recordOrigin(this.#own, id, { service, version, now: this.#context.now() });
    // Another node may rely on the single version that it has seen.
    if (version === unknownVersion || this.#mixed.has(service))
      this.#peers.tell({ id, service, version });
  }

  /** Records that a stream goes on at the version that began it. */
  recordTakeUp(
    id: RequestId,
    service: ServiceName,
    version: SoftwareVersion,
  ): void {
    recordOrigin(this.#own, id, { service, version, now: this.#context.now() });
    if (this.#mixed.has(service)) this.#peers.tell({ id, service, version });
  }

  /** Version that began a stream of this node; waits a short time while it is open, undefined if it stays so. */
  async settle(
    query: StreamQuery,
    until: Millis,
  ): Promise<SoftwareVersion | undefined> {
    const latest = this.#context.now() + maxSettleTime;
    await this.#unsettled.wait(query.id, millis(Math.min(until, latest)));
    return this.#findSettled(query);
  }

  /** Whether the process at the other end of a connection is the incarnation of a server that is known. */
  proveServer(
    server: BackendServer,
    openedAt: Millis,
  ): true | Promise<boolean> {
    const incarnations = this.#incarnations;
    const isProven = () =>
      incarnations.findProof(server, openedAt) !== undefined;
    if (isProven() || incarnations.isSilent(server)) return true;
    return incarnations
      .ask(server)
      .then(() => isProven() || incarnations.isSilent(server));
  }

  /** Records the origin of a stream that another node passes on. */
  receive({ id, service, version }: StreamMessage): void {
    const now = this.#context.now();
    // Datagrams may overtake each other.
    if (version === unknownVersion && this.#others.has(id)) return;
    recordOrigin(this.#others, id, { service, version, now });
  }

  /** Version that began a stream, if this node remembers it. */
  find({ service, id }: StreamQuery): SoftwareVersion | undefined {
    const origin = this.#own.get(id) ?? this.#others.get(id);
    return origin?.service === service ? origin.version : undefined;
  }

  /** Records that the caller got a whole stream. */
  recordWhole(id: RequestId): void {
    recordWholeStream(this.#own, id, this.#context.now());
  }

  /**
   * Version that began a stream which a caller takes up; undefined if it is not
   * known by `until`. Without its origin a stream is only taken up where a
   * single version has served for long.
   */
  async findOrigin(
    service: ServiceName,
    id: RequestId | undefined,
    until: Millis,
  ): Promise<FoundOrigin> {
    const query = id === undefined ? undefined : { service, id };
    const known = query && this.find(query);
    if (known === unknownVersion) return this.#awaitSettled(query, until);
    if (known !== undefined) return { version: known, source: "node" };
    // Another node may have seen a further version sooner.
    const told = query && (await this.#peers.ask(query));
    if (told === unknownVersion) return this.#awaitSettled(query, until);
    if (told !== undefined) return { version: told, source: "peer" };
    const single = this.#versions.findSingle(service);
    if (single !== undefined)
      return { version: single, source: "single-version" };
    const found = await this.#findInRows(service, query);
    if (found.version !== undefined || query === undefined) return found;
    // The node that passed the stream on may not have written it yet.
    const delay = millis(this.#table.writeInterval + writeMargin);
    if (this.#context.now() + delay >= until) return found;
    await sleep(this.#context.dependencies.clock, delay);
    return this.#findInRows(service, query);
  }

  /** Whether no stream that may be taken up begins at a server yet, since nodes may not have seen its version. */
  isTooNew(server: BackendServer): boolean {
    return this.#versions.isTooNew(server);
  }

  stop(): void {
    this.#cancel();
  }

  async #findInRows(
    service: ServiceName,
    query: StreamQuery | undefined,
  ): Promise<FoundOrigin> {
    if (!(await this.#refresh())) return { version: undefined, source: "none" };
    const known = query && this.#findSettled(query);
    if (known !== undefined) return { version: known, source: "rows" };
    const single = this.#versions.findSingle(service);
    if (single === undefined) return { version: undefined, source: "none" };
    return { version: single, source: "single-version" };
  }

  /** Looks for an origin that is open, at this node or at those that remember the stream, until it has settled. */
  async #awaitSettled(
    query: StreamQuery | undefined,
    until: Millis,
  ): Promise<FoundOrigin> {
    const open = { version: undefined, source: "open" } as const;
    if (query === undefined) return open;
    const end = Math.min(until, this.#context.now() + maxSettleTime);
    for (;;) {
      await this.#unsettled.wait(query.id, millis(end));
      const known = this.#findSettled(query);
      if (known !== undefined) return { version: known, source: "node" };
      const told = await this.#peers.ask(query);
      if (told !== undefined && told !== unknownVersion)
        return { version: told, source: "peer" };
      if (this.#context.now() + settleInterval >= end) return open;
      await sleep(this.#context.dependencies.clock, settleInterval);
    }
  }

  #findSettled(query: StreamQuery): SoftwareVersion | undefined {
    const known = this.find(query);
    return known === unknownVersion ? undefined : known;
  }

  #recordSettled(id: RequestId, version: SoftwareVersion): void {
    const origin = this.#own.get(id);
    if (origin === undefined) return;
    this.#own.set(id, { ...origin, version });
    this.#peers.tell({ id, service: origin.service, version });
  }

  #check(): void {
    const { clock } = this.#context.dependencies;
    // Scheduled first, so that a check that fails does not end the checks.
    this.#cancel = clock.schedule(checkInterval, () => this.#check());
    const now = this.#context.now();
    this.#unsettled.check();
    this.#versions.check();
    this.#tellOfMixedServices();
    removeOldOrigins(this.#own, now);
    removeOldOrigins(this.#others, now);
    const { readAt, isWriteDue } = this.#table;
    if (this.#versions.needsRows && now >= readAt + readRetryDelay)
      void this.#refresh();
    if (isWriteDue) void this.#table.write(this.#listStreams());
  }

  /** Tells the peers of the streams that began before a service had several versions. */
  #tellOfMixedServices(): void {
    const mixed = new Set(this.#versions.listMixed());
    if (mixed.size === 0 && this.#mixed.size === 0) return;
    for (const [id, { service, version }] of this.#own) {
      if (mixed.has(service) && !this.#mixed.has(service))
        this.#peers.tell({ id, service, version });
    }
    this.#mixed = mixed;
  }

  /** Reads the rows of all nodes by a call that starts from now on; false if the table does not answer. */
  #refresh(): Promise<boolean> {
    if (this.#reading === undefined) {
      this.#reading = this.#read().finally(() => {
        this.#reading = undefined;
      });
      return this.#reading;
    }
    this.#nextRead ??= this.#reading.then(() => {
      this.#nextRead = undefined;
      return this.#refresh();
    });
    return this.#nextRead;
  }

  async #read(): Promise<boolean> {
    const written = await this.#table.read();
    for (const streams of written ?? []) this.#apply(streams);
    return written !== undefined;
  }

  #apply({ services, age, isFormer }: WrittenStreams): void {
    const origins = isFormer ? this.#own : this.#others;
    const at = millis(this.#context.now() - age);
    for (const { service, versions, streams } of services) {
      for (const version of versions)
        this.#versions.record(service, version, at);
      for (const [id, version] of streams) {
        if (this.#own.has(id)) continue;
        recordOrigin(origins, id, { service, version, now: at });
      }
    }
  }

  /** The streams of services with several versions that this machine passed on. */
  #listStreams(): ServiceStreams[] {
    return [...this.#mixed].map((service) => ({
      service,
      versions: this.#versions.list(service),
      streams: [...this.#own].flatMap(([id, origin]) =>
        origin.service === service && origin.version !== unknownVersion
          ? [[id, origin.version] as const]
          : [],
      ),
    }));
  }
}
