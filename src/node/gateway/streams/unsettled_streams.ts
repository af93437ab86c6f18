import { type Millis, millis } from "../../../core/clock.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import { streamMemory } from "../../../core/gateway/software_versions.ts";
import {
  judgeOrigin,
  type OriginJudgement,
  type StreamBegin,
} from "../../../core/gateway/stream_judgement.ts";
import type {
  RequestId,
  ServerId,
  SoftwareVersion,
} from "../../../core/ids.ts";
import type { GatewayContext } from "../context.ts";
import type { IncarnationWatch } from "../servers/incarnation_watch.ts";

/** Delay after the first event of a stream before its server is asked which incarnation runs, in ms. */
const askDelay = millis(100);
/** Maximum number of streams whose origin is open at one time. */
const maxStreams = 5_000;

type Unsettled = StreamBegin & {
  readonly until: Millis;
  /** Start of another incarnation that was heard of since the connection was opened. */
  interimBorn: number | undefined;
  readonly waiting: Set<() => void>;
};

type UnsettledStreamsOptions = {
  readonly incarnations: IncarnationWatch;
  /** Time for which the node has seen all changes of the servers' entries. */
  readonly viewTime: () => Millis;
  /** Called once the origin of a stream has settled. */
  readonly onSettled: (id: RequestId, version: SoftwareVersion) => void;
};

/** Streams that may have begun at a later incarnation of their server than its entry named. */
export class UnsettledStreams {
  readonly #context: GatewayContext;
  readonly #options: UnsettledStreamsOptions;
  readonly #streams = new Map<RequestId, Unsettled>();
  /** The same by the server that they began at. */
  readonly #byServer = new Map<ServerId, Map<RequestId, Unsettled>>();

  private constructor(
    context: GatewayContext,
    options: UnsettledStreamsOptions,
  ) {
    this.#context = context;
    this.#options = options;
  }

  static create(
    context: GatewayContext,
    options: UnsettledStreamsOptions,
  ): UnsettledStreams {
    const unsettled = new UnsettledStreams(context, options);
    options.incarnations.follow((server) => unsettled.#checkServer(server));
    return unsettled;
  }

  /** Adds a stream with its first event, unless its origin shows at once. */
  add(id: RequestId, begin: StreamBegin): OriginJudgement {
    const until = millis(this.#context.now() + streamMemory);
    const waiting = new Set<() => void>();
    const added = { ...begin, until, interimBorn: undefined, waiting };
    const judgement = this.#judge(added);
    if (judgement !== undefined) return judgement;
    const earlier = this.#streams.get(id);
    if (earlier !== undefined) this.#remove(id, earlier);
    this.#streams.set(id, added);
    this.#obtainStreamsAt(begin.server.id).set(id, added);
    for (const [oldest, stream] of this.#streams) {
      if (this.#streams.size <= maxStreams) break;
      this.#remove(oldest, stream);
    }
    this.#scheduleReport(id, begin.server);
    return undefined;
  }

  /** Resolves once the origin of a stream has settled or is lost, or at `until`. */
  async wait(id: RequestId, until: Millis): Promise<void> {
    const stream = this.#streams.get(id);
    if (stream === undefined) return;
    const { clock } = this.#context.dependencies;
    const { incarnations } = this.#options;
    if (!incarnations.isSilent(stream.server))
      void incarnations.ask(stream.server);
    await new Promise<void>((resolve) => {
      const end = () => {
        cancel();
        resolve();
      };
      const timeLeft = Math.max(0, until - this.#context.now());
      const cancel = clock.schedule(millis(timeLeft), end);
      stream.waiting.add(end);
    });
  }

  /** Settles what time has settled; forgets the streams that no caller takes up any more. */
  check(): void {
    const now = this.#context.now();
    for (const [id, stream] of this.#streams) {
      if (now > stream.until) this.#remove(id, stream);
      else this.#apply(id, stream);
    }
  }

  #checkServer(server: ServerId): void {
    const streams = this.#byServer.get(server);
    if (streams === undefined) return;
    for (const [id, stream] of streams) this.#apply(id, stream);
  }

  #obtainStreamsAt(server: ServerId): Map<RequestId, Unsettled> {
    const known = this.#byServer.get(server);
    if (known !== undefined) return known;
    const created = new Map<RequestId, Unsettled>();
    this.#byServer.set(server, created);
    return created;
  }

  #apply(id: RequestId, stream: Unsettled): void {
    const judgement = this.#judge(stream);
    if (judgement === undefined) return;
    const { journal } = this.#context.dependencies;
    const { server } = stream;
    const { born, softwareVersion: entryVersion } = server;
    const fields = { requestId: id, server: server.id, born, entryVersion };
    if (judgement.kind === "settled") {
      const { version, proof } = judgement;
      journal.record("streamOriginSettled", { ...fields, version, proof });
      this.#options.onSettled(id, version);
    } else {
      journal.record("streamOriginLost", fields);
    }
    this.#remove(id, stream);
  }

  #remove(id: RequestId, { server, waiting }: Unsettled): void {
    this.#streams.delete(id);
    const atServer = this.#byServer.get(server.id);
    atServer?.delete(id);
    if (atServer?.size === 0) this.#byServer.delete(server.id);
    for (const end of waiting) end();
  }

  #judge(stream: Unsettled): OriginJudgement {
    const { server, openedAt } = stream;
    const { incarnations } = this.#options;
    const sighting = incarnations.findSighting(server.id);
    const hasRunSince = sighting !== undefined && sighting.aliveAt >= openedAt;
    if (hasRunSince && sighting.born !== server.born)
      stream.interimBorn ??= sighting.born;
    return judgeOrigin(stream, {
      sighting,
      interimBorn: stream.interimBorn,
      current: this.#context.directory.servers.get(server.id),
      isSilent: incarnations.isSilent(server),
      viewTime: this.#options.viewTime(),
    });
  }

  #scheduleReport(id: RequestId, server: BackendServer): void {
    const { clock } = this.#context.dependencies;
    const { incarnations } = this.#options;
    clock.schedule(askDelay, () => {
      if (!this.#streams.has(id) || incarnations.isSilent(server)) return;
      void incarnations.ask(server);
    });
  }
}
