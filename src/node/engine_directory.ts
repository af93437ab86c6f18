import { type Clock, millis, sleep } from "../core/clock.ts";
import { summarizeEngine } from "../core/engine/mod.ts";
import type { EngineId, NodeId, Region } from "../core/ids.ts";
import { refuse } from "../core/results/refusal.ts";
import type { EngineView } from "../core/routing/view.ts";
import type { AnswerSink, EngineAccess, Submission } from "../ports/access.ts";
import { endedStream, type StreamControl } from "../ports/engine.ts";
import type { ForwardTarget, PeerForwarder } from "../ports/peers.ts";
import type { EngineOwner } from "./engine_owner.ts";

/** What the directory needs. */
export type EngineDirectoryOptions = {
  readonly nodeId: NodeId;
  readonly region: Region;
  readonly clock: Clock;
  readonly forwarder: PeerForwarder;
  /** Views of engines that other nodes own, as last heard of. */
  readonly remoteViews: () => Iterable<EngineView>;
  /** Peer address of a node; undefined when it is not a member. */
  readonly findAddress: (node: NodeId) => string | undefined;
};

/** Time between checks whether all streams have ended, in ms. */
const idleCheckMillis = 50;

/** Engines of the installation: those owned here and the way to all others. */
export class EngineDirectory implements EngineAccess, ForwardTarget {
  readonly #options: EngineDirectoryOptions;
  readonly #owners = new Map<EngineId, EngineOwner>();

  static create(options: EngineDirectoryOptions): EngineDirectory {
    return new EngineDirectory(options);
  }

  private constructor(options: EngineDirectoryOptions) {
    this.#options = options;
  }

  /** Engines owned by this node. */
  get owners(): ReadonlyMap<EngineId, EngineOwner> {
    return this.#owners;
  }

  /** Number of requests at engines owned by this node. */
  get load(): number {
    let load = 0;
    for (const owner of this.#owners.values()) load += owner.load;
    return load;
  }

  add(engine: EngineId, owner: EngineOwner): void {
    this.#owners.set(engine, owner);
  }

  /** Resolves when no request is left at engines owned here. */
  async waitIdle(): Promise<void> {
    while (this.load > 0) {
      await sleep(this.#options.clock, millis(idleCheckMillis));
    }
  }

  /** Views of the engines owned here. */
  ownViews(): EngineView[] {
    const { nodeId, region, clock } = this.#options;
    const now = clock.now();
    const owned = [...this.#owners].filter(([, owner]) => isOwned(owner));
    return owned.map(([engine, { state }]) => ({
      ...summarizeEngine(state, now),
      engine,
      region,
      owner: nodeId,
      heardAt: now,
    }));
  }

  /** Views of all engines; an own view goes before what others say. */
  views(): EngineView[] {
    const own = this.ownViews();
    const others = [...this.#options.remoteViews()].filter(
      (view) => !own.some((one) => one.engine === view.engine),
    );
    return [...own, ...others];
  }

  submit(
    engine: EngineId,
    submission: Submission,
    sink: AnswerSink,
  ): StreamControl {
    const owner = this.#owners.get(engine);
    if (owner !== undefined && isOwned(owner)) {
      return owner.submit(submission, sink);
    }
    const view = this.views().find((one) => one.engine === engine);
    const address =
      view?.owner === undefined
        ? undefined
        : this.#options.findAddress(view.owner);
    if (address === undefined) {
      sink.onRefusal(refuse("notOwner", `No owner of ${engine} is known`));
      return endedStream;
    }
    const { forwarder } = this.#options;
    return forwarder.forward(address, { engine, submission }, sink);
  }

  acceptForward(
    request: { engine: EngineId; submission: Submission },
    sink: AnswerSink,
  ): StreamControl {
    const owner = this.#owners.get(request.engine);
    if (owner !== undefined && isOwned(owner)) {
      return owner.submit(request.submission, sink);
    }
    sink.onRefusal(
      refuse("notOwner", `This node does not own ${request.engine}`),
    );
    return endedStream;
  }
}

function isOwned(owner: EngineOwner): boolean {
  return owner.state.ownership !== undefined;
}
