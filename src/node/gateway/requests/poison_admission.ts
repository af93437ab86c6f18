import { type Millis, millis } from "../../../core/clock.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { Digest } from "../../../core/ids.ts";
import { listUnits, type RequestContent } from "../../../core/poison/units.ts";
import type { PoisonGuard, PoisonTrial } from "./poison_guard.ts";
import type { AttemptResult } from "./server_attempt.ts";

/** Time for which bytes of an answer must have come to show that its request crashes no server, in ms. */
const soundRunTime = millis(1_000);

/** What an admission needs of the guard. */
type Guard = Pick<
  PoisonGuard,
  "assess" | "admit" | "maySend" | "recordSound" | "recordBreak"
>;

/** The content of one request at the guard; ends its trial with the request. */
export class PoisonAdmission {
  readonly #guard: Guard;
  readonly #content: RequestContent;
  readonly #units: readonly Digest[];
  #trial: PoisonTrial | undefined;
  #hasRun = false;
  #recorded: Promise<void> = Promise.resolve();

  private constructor(guard: Guard, content: RequestContent) {
    this.#guard = guard;
    this.#content = content;
    this.#units = listUnits(content);
  }

  static create(guard: Guard, content: RequestContent): PoisonAdmission {
    return new PoisonAdmission(guard, content);
  }

  get isConvicted(): boolean {
    return this.#guard.assess(this.#units) === "convicted";
  }

  /** Waits until the request may run; returns why it may not. */
  async wait(
    until: Millis,
    hasEnded: () => boolean,
  ): Promise<"convicted" | "late" | undefined> {
    this.end();
    // The crash of an earlier attempt must be known before the next one.
    await this.#recorded;
    const admission = await this.#guard.admit(this.#units, { until, hasEnded });
    if (admission.kind !== "admitted") return admission.kind;
    this.#trial = admission.trial;
    this.#hasRun = false;
    if (hasEnded()) this.end();
    return undefined;
  }

  /** Whether the request may still be sent. */
  maySend(): boolean {
    return this.#guard.maySend(this.#units, this.#trial);
  }

  /** Records once that bytes of an answer have come for long enough, and ends the trial of the request. */
  recordRun(runTime: Millis): void {
    if (this.#hasRun || runTime < soundRunTime) return;
    this.#hasRun = true;
    this.recordWhole();
  }

  /** Records a whole answer. */
  recordWhole(): void {
    this.#guard.recordSound(this.#units);
    this.end();
  }

  /** Records how an attempt without a whole answer ended. */
  recordFailure({ end, runTime }: AttemptResult, server: BackendServer): void {
    const hasBegun = runTime !== undefined;
    if (hasBegun && runTime >= soundRunTime)
      return this.#guard.recordSound(this.#units);
    if (end.kind !== "broken") return;
    // No part of a prompt can have crashed a server that had not begun to answer.
    const units = hasBegun ? this.#units : [this.#content.request];
    this.#recorded = this.#guard.recordBreak(server, units);
  }

  /** Ends the trial of the request, if it holds one. */
  end(): void {
    const trial = this.#trial;
    this.#trial = undefined;
    // The next trial must know of the crash that this one has caused.
    if (trial !== undefined) void this.#recorded.then(() => trial.end());
  }
}
