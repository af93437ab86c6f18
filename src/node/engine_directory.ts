import { type Clock, millis, sleep } from "../core/clock.ts";
import { summarizeEngine } from "../core/engine/mod.ts";
import type { EngineId, NodeId, Region } from "../core/ids.ts";
import { refuse } from "../core/results/refusal.ts";
import type { EngineView } from "../core/routing/view.ts";
import type { AnswerSink, EngineAccess, Submission } from "../ports/access.ts";
import { endedStream, type StreamControl } from "../ports/engine.ts";
import type { ForwardTarget, PeerForwarder } from "../ports/peers.ts";
import type { EngineOwner } from "./engine_owner.ts";

/** Options of the engine directory. */
export type EngineDirectoryOptions = {
  readonly nodeId: NodeId;
  readonly region: Region;
  readonly clock: Clock;
  readonly forwarder: PeerForwarder;
  /** Latest published views of engines that other nodes own. */
  readonly remoteViews: () => Iterable<EngineView>;
  /** Peer address of a node; undefined when it is not a member. */
  readonly findAddress: (node: NodeId) => string | undefined;
};

/** Interval at which `waitIdle` checks whether all streams have ended, in ms. */
const idleCheckMillis = 50;

/** Routes submissions to the engines of the installation: to a local owner, or to the node that owns the engine. */
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

  /** Number of requests queued or running at engines owned by this node. */
  get load(): number {
    let count = 0;
    for (const owner of this.#owners.values()) count += owner.load;
    return count;
  }

  add(engine: EngineId, owner: EngineOwner): void {
    this.#owners.set(engine, owner);
  }

  /** Resolves when no request is queued or running at engines owned by this node. */
  async waitIdle(): Promise<void> {
    while (this.load > 0) {
      await sleep(this.#options.clock, millis(idleCheckMillis));
    }
  }

  /** Ends all streams of engines owned by this node. */
  giveUp(): void {
    for (const owner of this.#owners.values()) owner.giveUp();
  }

  /** Views of the engines owned by this node. */
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

  /** Views of all engines; the view of an engine owned by this node takes precedence over published ones. */
  views(): EngineView[] {
    const own = this.ownViews();
    const others = [...this.#options.remoteViews()].filter(
      (view) => !own.some((ownView) => ownView.engine === view.engine),
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
    const view = this.views().find((candidate) => candidate.engine === engine);
    const address =
      view?.owner === undefined
        ? undefined
        : this.#options.findAddress(view.owner);
    if (address === undefined) {
      sink.onRefusal(refuse("notOwner", `Engine ${engine} has no known owner`));
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
