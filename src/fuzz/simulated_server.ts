import { type Either, Left, Right } from "purify-ts";
import { type Clock, millis, sleep } from "../core/clock.ts";
import type { RequestId } from "../core/ids.ts";
import type {
  ServiceAnswer,
  ServiceCall,
  ServiceFailure,
  ServiceLink,
} from "../ports/service.ts";
import type { PauseGate } from "./pause_gate.ts";

/**
 * Faults of a booking server. `unreachable`: refuses connections. `leaving`:
 * refuses new calls. `pausing`: refuses calls and asks for a pause of
 * `pauseLength`. `announcing`: says in its answers that it leaves. `broken`, `crossed`: runs the call, then the connection
 * breaks or carries another call's answer. `silent`: runs the call and never
 * answers. `slow`: answers after 3 s.
 */
export const serverFaults = [
  "unreachable",
  "leaving",
  "pausing",
  "announcing",
  "broken",
  "crossed",
  "silent",
  "slow",
] as const;

/** One of the faults of a booking server. */
export type ServerFault = (typeof serverFaults)[number];

/** One-way network delay, in ms. */
const oneWayDelay = 1;
/** Duration of a call without a fault and with the fault `slow`, in ms. */
const callDuration = 20;
const slowCallDuration = 3_000;

/** Pause that a server asks for, and the time after its answer in which calls on their way may arrive, in ms. */
const pauseLength = 700;
const onTheWay = 50;

/** One call that a booking server ran. */
export type ServiceRun = {
  readonly server: string;
  readonly requestId: RequestId;
  readonly path: string;
  readonly body: string;
  readonly at: number;
};

/** Server of a booking service in memory, with the faults of the network. */
export class SimulatedServer {
  fault: ServerFault | undefined;
  readonly #id: string;
  readonly #clock: Clock;
  readonly #onRun: (run: ServiceRun) => void;

  constructor(
    id: string,
    options: { clock: Clock; onRun: (run: ServiceRun) => void },
  ) {
    this.#id = id;
    this.#clock = options.clock;
    this.#onRun = options.onRun;
  }

  /** Creates the link from one node; `isCut` covers a network cut and the end of the node. */
  createLink(node: {
    gate: PauseGate;
    isCut: () => boolean;
    onNewWork: () => void;
    /** Called when a call reaches the server in a pause that it has asked this node for. */
    onPausedWork: () => void;
    /** Called when an answer has told the node that the server leaves. */
    onLeavingSaid: () => void;
  }): ServiceLink {
    let pause = { start: 0, end: 0 };
    const readNotices = (answer: ServiceAnswer) => {
      const now = this.#clock.now();
      if (answer.retryAfter !== undefined)
        pause = { start: now + onTheWay, end: now + pauseLength };
      if (answer.isLeaving === true) node.onLeavingSaid();
    };
    return {
      call: async (call) => {
        await sleep(this.#clock, millis(oneWayDelay));
        if (node.isCut()) return createNotSentFailure("No route to the server");
        if (this.fault !== "leaving") node.onNewWork();
        const now = this.#clock.now();
        if (now > pause.start && now < pause.end) node.onPausedWork();
        const answer = await this.#run(call);
        await sleep(this.#clock, millis(oneWayDelay));
        if (node.isCut()) return waitForTimeout(this.#clock, call);
        const received = await node.gate.deliverValue(answer);
        received.ifRight(readNotices);
        return received;
      },
    };
  }

  async #run(
    call: ServiceCall,
  ): Promise<Either<ServiceFailure, ServiceAnswer>> {
    const { fault } = this;
    if (fault === "unreachable")
      return createNotSentFailure("Connection refused");
    if (fault === "leaving") {
      const answer = { status: 503, contentType: undefined };
      return Right({ ...answer, body: Buffer.from(""), notRun: "leaving" });
    }
    if (fault === "pausing") {
      const retryAfter = String(pauseLength / 1_000);
      const answer = { status: 503, contentType: undefined, retryAfter };
      return Right({ ...answer, body: Buffer.from(""), notRun: "paused" });
    }
    const { requestId, path } = call;
    const body = Buffer.from(call.body).toString();
    const at = this.#clock.now();
    this.#onRun({ server: this.#id, requestId, path, body, at });
    if (fault === "silent") return waitForTimeout(this.#clock, call);
    const duration = fault === "slow" ? slowCallDuration : callDuration;
    if (duration > call.timeout) return waitForTimeout(this.#clock, call);
    await sleep(this.#clock, millis(duration));
    if (fault === "broken") {
      return Left({ kind: "broken", detail: "Connection reset" });
    }
    if (fault === "crossed") {
      return Left({ kind: "crossed", detail: "Another request id" });
    }
    const text = JSON.stringify({ requestId, body });
    return Right({
      status: 201,
      contentType: "application/json",
      body: Buffer.from(text),
      ...(fault === "announcing" ? { isLeaving: true } : {}),
    });
  }
}

function createNotSentFailure(
  detail: string,
): Either<ServiceFailure, ServiceAnswer> {
  return Left({ kind: "not-sent", detail });
}

async function waitForTimeout(
  clock: Clock,
  call: ServiceCall,
): Promise<Either<ServiceFailure, ServiceAnswer>> {
  await sleep(clock, call.timeout);
  return Left({ kind: "timeout", detail: "No answer in time" });
}
