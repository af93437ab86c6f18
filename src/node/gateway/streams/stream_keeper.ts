import {
  type Cancel,
  type Millis,
  millis,
  sleep,
} from "../../../core/clock.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import {
  createVersionHistory,
  listMixedServices,
  listVersions,
  recordServers,
  recordVersion,
  streamMemory,
  unknownVersion,
} from "../../../core/gateway/software_versions.ts";
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
import type { Row, TableService } from "../../../ports/table.ts";
import type { GatewayContext } from "../context.ts";
import type { StreamPeers } from "./stream_peers.ts";
import {
  createStreamKey,
  decodeStreamRow,
  encodeStreamRow,
  type StreamRow,
  streamPrefixOf,
} from "./stream_rows.ts";

/** Interval of the checks of the servers' versions, in ms. */
const checkInterval = millis(100);
/** Minimum interval of the writes of a node, and its growth with the number of nodes, in ms. */
const minWriteInterval = 500;
const writeIntervalPerNode = 10;
/** Time that a write takes, and the checks before it, in ms. */
const writeMargin = 150;
/** Delay before the first read of the rows is repeated, in ms. */
const readRetryDelay = 1_000;
/** Age from which the row of an ended process is removed, in ms; clocks of nodes differ by seconds. */
const rowLifetime = 2 * streamMemory;
/** Maximum number of rows that one transaction removes. */
const maxRemovedRows = 50;

type StreamKeeperOptions = {
  readonly table: TableService;
  readonly peers: StreamPeers;
};

/**
 * Knows which software version began a stream, so that it only goes on there.
 * While servers of several versions serve, the streams are also kept in the
 * table, one row a process, since all nodes may be restarted at once.
 */
export class StreamKeeper {
  readonly #context: GatewayContext;
  readonly #table: TableService;
  readonly #peers: StreamPeers;
  readonly #history = createVersionHistory();
  /** Streams that this machine passed on. */
  readonly #own: StreamOrigins = new Map();
  /** Streams of the other nodes, from their rows. */
  readonly #others: StreamOrigins = new Map();
  readonly #startedAt: Millis;
  /** Services of which several versions were in sight lately. */
  #mixed: ReadonlySet<ServiceName> = new Set();
  #hasRead = false;
  #readAt: Millis;
  #writtenAt: Millis;
  #isWriting = false;
  #hasRow = false;
  #reading: Promise<boolean> | undefined;
  #nextRead: Promise<boolean> | undefined;
  /** Rows of earlier processes of this machine. */
  #formerRows: readonly Row[] = [];
  #cancel: Cancel = () => {};

  private constructor(context: GatewayContext, options: StreamKeeperOptions) {
    this.#context = context;
    this.#table = options.table;
    this.#peers = options.peers;
    const never = millis(Number.NEGATIVE_INFINITY);
    this.#startedAt = context.now();
    this.#readAt = never;
    this.#writtenAt = never;
  }

  static create(
    context: GatewayContext,
    options: StreamKeeperOptions,
  ): StreamKeeper {
    const keeper = new StreamKeeper(context, options);
    keeper.#check();
    return keeper;
  }

  /** Records that the first event of a stream came from a server. */
  recordBegin(
    id: RequestId,
    { service, softwareVersion }: BackendServer,
  ): void {
    if (softwareVersion === undefined) return;
    const now = this.#context.now();
    recordOrigin(this.#own, id, { service, version: softwareVersion, now });
    if (this.#mixed.has(service))
      this.#peers.tell({ id, service, version: softwareVersion });
  }

  /** Records the origin of a stream that another node passes on. */
  receive({ id, service, version }: StreamMessage): void {
    const now = this.#context.now();
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
   * known by `until`. Without its origin a stream is only taken up where a single version
   * has served for long.
   */
  async findOrigin(
    service: ServiceName,
    id: RequestId | undefined,
    until: Millis,
  ): Promise<SoftwareVersion | undefined> {
    const query = id === undefined ? undefined : { service, id };
    const known = query && this.find(query);
    if (known !== undefined) return known;
    // Another node may have seen a further version sooner.
    const told = query && (await this.#peers.ask(query));
    if (told !== undefined) return told;
    const hasLongHistory =
      this.#hasRead || this.#context.now() >= this.#startedAt + streamMemory;
    if (hasLongHistory) {
      const single = this.#findSingleVersion(service);
      if (single !== undefined) return single;
    }
    if (query === undefined) return this.#findInRows(service, id);
    const found = await this.#findInRows(service, id);
    if (found !== undefined) return found;
    // The node that passed the stream on may not have written it yet.
    const delay = millis(this.#writeInterval + writeMargin);
    if (this.#context.now() + delay >= until) return undefined;
    await sleep(this.#context.dependencies.clock, delay);
    return this.#findInRows(service, id);
  }

  stop(): void {
    this.#cancel();
  }

  async #findInRows(
    service: ServiceName,
    id: RequestId | undefined,
  ): Promise<SoftwareVersion | undefined> {
    if (!(await this.#refresh())) return undefined;
    const known = id === undefined ? undefined : this.find({ service, id });
    return known ?? this.#findSingleVersion(service);
  }

  #findSingleVersion(service: ServiceName): SoftwareVersion | undefined {
    const [version, ...others] = listVersions(this.#history, service);
    if (others.length > 0 || version === unknownVersion) return undefined;
    return version;
  }

  #check(): void {
    const { clock } = this.#context.dependencies;
    const now = this.#context.now();
    const { servers } = this.#context.directory;
    recordServers(this.#history, servers.values(), now);
    this.#tellOfMixedServices();
    removeOldOrigins(this.#own, now);
    removeOldOrigins(this.#others, now);
    if (!this.#hasRead && now >= this.#readAt + readRetryDelay)
      void this.#refresh();
    if (
      this.#hasRead &&
      !this.#isWriting &&
      now >= this.#writtenAt + this.#writeInterval
    )
      void this.#write();
    this.#cancel = clock.schedule(checkInterval, () => this.#check());
  }

  /** Tells the peers of the streams that began before a service had several versions. */
  #tellOfMixedServices(): void {
    const mixed = new Set(listMixedServices(this.#history));
    if (mixed.size === 0 && this.#mixed.size === 0) return;
    for (const [id, { service, version }] of this.#own) {
      if (mixed.has(service) && !this.#mixed.has(service))
        this.#peers.tell({ id, service, version });
    }
    this.#mixed = mixed;
  }

  get #writeInterval(): number {
    const interval = writeIntervalPerNode * this.#context.nodeCount;
    return Math.max(minWriteInterval, interval);
  }

  /** Writes the streams of services with several versions; removes the row once there is none. */
  async #write(): Promise<void> {
    const mixed = listMixedServices(this.#history);
    if (mixed.length === 0 && !this.#hasRow) return;
    const { clock, identity } = this.#context.dependencies;
    const { machine, process } = identity;
    this.#isWriting = true;
    this.#writtenAt = this.#context.now();
    const key = createStreamKey(machine, process);
    const services = mixed.map((service) => ({
      service,
      versions: listVersions(this.#history, service),
      streams: [...this.#own].flatMap(([id, origin]) =>
        origin.service === service ? [[id, origin.version] as const] : [],
      ),
    }));
    const row = encodeStreamRow({ writtenAt: clock.wallNow(), services });
    const former = this.#formerRows.filter((other) => other.key !== key);
    const result = await this.#table.transact({
      attempt: this.#context.createAttemptToken(),
      conditions: [],
      writes: [
        { key, value: mixed.length === 0 ? undefined : row },
        // This row has their streams.
        ...former.map((other) => ({ key: other.key, value: undefined })),
      ],
    });
    this.#isWriting = false;
    if (result.isLeft()) return;
    this.#hasRow = mixed.length > 0;
    this.#formerRows = [];
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
    this.#readAt = this.#context.now();
    const result = await this.#table.scan("streams/");
    return result.caseOf({
      Left: () => false,
      Right: (rows) => {
        this.#apply(rows);
        return true;
      },
    });
  }

  #apply(rows: readonly Row[]): void {
    const { machine } = this.#context.dependencies.identity;
    const ownPrefix = streamPrefixOf(machine);
    const isFirst = !this.#hasRead;
    this.#hasRead = true;
    const formerRows = rows.filter(({ key }) => key.startsWith(ownPrefix));
    if (isFirst) {
      this.#formerRows = formerRows;
      void this.#removeOldRows(rows);
    }
    for (const row of rows) {
      const isFormer = isFirst && row.key.startsWith(ownPrefix);
      this.#applyRow(row, isFormer ? this.#own : this.#others);
    }
  }

  /** Removes the rows of processes that ended long ago, once in the life of this one. */
  async #removeOldRows(rows: readonly Row[]): Promise<void> {
    const old = rows.filter((row) => {
      const decoded = decodeStreamRow(row);
      return decoded === undefined || this.#computeAge(decoded) > rowLifetime;
    });
    if (old.length === 0) return;
    await this.#table.transact({
      attempt: this.#context.createAttemptToken(),
      conditions: [],
      writes: old
        .slice(0, maxRemovedRows)
        .map(({ key }) => ({ key, value: undefined })),
    });
  }

  #computeAge({ writtenAt }: StreamRow): number {
    const { clock } = this.#context.dependencies;
    return Math.max(0, clock.wallNow() - writtenAt);
  }

  #applyRow(row: Row, origins: StreamOrigins): void {
    const decoded = decodeStreamRow(row);
    if (decoded === undefined) return;
    const now = this.#context.now();
    const age = this.#computeAge(decoded);
    if (age > streamMemory) return;
    const at = millis(now - age);
    for (const { service, versions, streams } of decoded.services) {
      for (const version of versions)
        recordVersion(this.#history, { service, version, at });
      for (const [id, version] of streams) {
        if (this.#own.has(id)) continue;
        recordOrigin(origins, id, { service, version, now: at });
      }
    }
  }
}
