import type { EngineId } from "../core/ids.ts";
import type { AnswerSink, Submission } from "./access.ts";
import type { StreamControl } from "./engine.ts";

/** Forwards submissions to other nodes. */
export type PeerForwarder = {
  /** Forwards a submission to the owner at this peer address (`IP:PORT`). */
  forward(
    address: string,
    request: { engine: EngineId; submission: Submission },
    sink: AnswerSink,
  ): StreamControl;
};

/** Accepts submissions that another node forwarded. */
export type ForwardTarget = {
  /** Runs the submission on an engine that this node owns; never forwards again. */
  acceptForward(
    request: { engine: EngineId; submission: Submission },
    sink: AnswerSink,
  ): StreamControl;
};
