import { type Millis, millis } from "../clock.ts";
import type { Decide } from "../decision.ts";
import { brandNumber, type NodeId, type Revision } from "../ids.ts";

/** Interval between reads of the head row by the node that polls, in ms. */
export const pollPeriod = millis(1_000);
/** Minimum delay after a failed read or fetch, before jitter, in ms. */
const minRetryDelay = millis(500);
/** Maximum delay between retries, before jitter, in ms. */
const maxRetryDelay = millis(5_000);
/** Time per node over which the nodes that receive an advertised revision distribute their fetches, in ms. */
const fetchSpreadPerNode = 2;

/** State of a node that follows the configuration. */
export type FollowState = {
  revision: Revision;
  /** Highest revision that this node read from the head row. */
  confirmed: Revision;
  /** Highest revision that another node advertised, and a node that has it. */
  advertised: Revision;
  source: NodeId | undefined;
  busy: boolean;
  /** Time of the next read of the head row; moved forward when a newer revision is advertised. */
  readAt: Millis;
  failures: number;
};

/** Event that the follower handles. */
export type FollowEvent =
  | { readonly type: "tick"; readonly polls: boolean }
  | {
      readonly type: "revision-advertised";
      readonly revision: Revision;
      readonly node: NodeId;
      /** Number of nodes that receive the advertisement at the same time. */
      readonly nodes: number;
    }
  /** The head row was read and everything up to it is in force. */
  | { readonly type: "followed"; readonly revision: Revision }
  /** The head row or an object could not be read. */
  | { readonly type: "store-failed" }
  | { readonly type: "peer-answered" }
  | { readonly type: "peer-failed" }
  /** A revision came into force at this node. */
  | { readonly type: "in-force"; readonly revision: Revision };

/** Command that the follower's actor carries out. */
export type FollowCommand =
  | { readonly type: "follow-store" }
  | { readonly type: "fetch-peer"; readonly node: NodeId };

/** State of a node without a configuration. */
export function createFollowState(now: Millis): FollowState {
  return {
    revision: brandNumber(0),
    confirmed: brandNumber(0),
    advertised: brandNumber(0),
    source: undefined,
    busy: false,
    readAt: now,
    failures: 0,
  };
}

/** Decides when a node reads the head row and when it fetches from a peer. */
export function createFollowDecision(options: {
  readonly random: () => number;
}): Decide<FollowState, FollowEvent, FollowCommand> {
  const { random } = options;
  return (state, event, now) => {
    const commands: FollowCommand[] = [];
    switch (event.type) {
      case "tick":
        if (state.busy || now < state.readAt) break;
        if (!event.polls && !isBehind(state)) break;
        state.busy = true;
        commands.push({ type: "follow-store" });
        break;
      case "revision-advertised":
        handleAdvertised(state, { ...event, now, random });
        break;
      case "followed":
        state.busy = false;
        state.failures = 0;
        state.confirmed = brandNumber(
          Math.max(state.confirmed, event.revision),
        );
        state.readAt = millis(now + pollPeriod);
        break;
      case "store-failed":
        if (state.advertised > state.revision && state.source !== undefined) {
          commands.push({ type: "fetch-peer", node: state.source });
        } else backOff(state, { now, random });
        break;
      case "peer-answered":
      case "peer-failed":
        backOff(state, { now, random });
        break;
      case "in-force":
        state.revision = brandNumber(Math.max(state.revision, event.revision));
        break;
    }
    return { state, commands };
  };
}

/** Whether the node must read the head row even though another one polls. */
function isBehind(state: FollowState): boolean {
  return (
    state.advertised > state.revision ||
    state.confirmed < state.revision ||
    state.revision === 0
  );
}

function handleAdvertised(
  state: FollowState,
  advertisement: {
    readonly revision: Revision;
    readonly node: NodeId;
    readonly nodes: number;
    readonly now: Millis;
    readonly random: () => number;
  },
): void {
  // After a failure, another node that has the same revision becomes the source.
  const isUseful =
    advertisement.revision > state.advertised || state.failures > 0;
  if (!isUseful && state.source !== undefined) return;
  if (advertisement.revision < state.advertised) return;
  state.advertised = brandNumber(
    Math.max(state.advertised, advertisement.revision),
  );
  state.source = advertisement.node;
  if (advertisement.revision <= state.revision) return;
  const delay =
    advertisement.random() * advertisement.nodes * fetchSpreadPerNode;
  state.readAt = millis(Math.min(state.readAt, advertisement.now + delay));
}

function backOff(
  state: FollowState,
  at: { readonly now: Millis; readonly random: () => number },
): void {
  state.busy = false;
  state.failures++;
  const wait = Math.min(
    maxRetryDelay,
    minRetryDelay * 2 ** (state.failures - 1),
  );
  state.readAt = millis(at.now + wait * (0.5 + 0.5 * at.random()));
}
