import type { Clock, Millis } from "../../../core/clock.ts";
import { millis } from "../../../core/clock.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { Digest } from "../../../core/ids.ts";
import type { PromptGuard, PromptTrial } from "./prompt_guard.ts";
import type { AttemptResult } from "./server_attempt.ts";

/** Time for which an answer must have run to show that its prompt crashes no engine, in ms. */
const soundRunTime = millis(1_000);

/** The parts of one request's prompt at the guard; ends its trial with the request. */
export class PromptAdmission {
  readonly #guard: PromptGuard;
  readonly #parts: readonly Digest[];
  readonly #clock: Clock;
  #trial: PromptTrial | undefined;
  #recorded: Promise<void> = Promise.resolve();

  private constructor(
    guard: PromptGuard,
    options: { parts: readonly Digest[]; clock: Clock },
  ) {
    this.#guard = guard;
    this.#parts = options.parts;
    this.#clock = options.clock;
  }

  static create(
    guard: PromptGuard,
    options: { parts: readonly Digest[]; clock: Clock },
  ): PromptAdmission {
    return new PromptAdmission(guard, options);
  }

  get isConvicted(): boolean {
    return this.#guard.assess(this.#parts) === "convicted";
  }

  /** Waits until the request may run; returns why it may not. */
  async wait(
    until: Millis,
    hasEnded: () => boolean,
  ): Promise<"convicted" | "late" | undefined> {
    this.end();
    // The crash of an earlier attempt must be known before the next one.
    await this.#recorded;
    const admission = await this.#guard.admit(this.#parts, { until, hasEnded });
    if (admission.kind !== "admitted") return admission.kind;
    this.#trial = admission.trial;
    if (hasEnded()) this.end();
    return undefined;
  }

  /** Whether the request may still be sent. */
  maySend(): boolean {
    return this.#guard.maySend(this.#parts, this.#trial);
  }

  /** Ends a trial once the answer has run for long enough. */
  recordStart(): void {
    if (this.#trial === undefined) return;
    const trial = this.#trial;
    this.#clock.schedule(soundRunTime, () => {
      if (this.#trial === trial) this.recordWhole();
    });
  }

  /** Records a whole answer. */
  recordWhole(): void {
    this.#guard.recordSound(this.#parts);
    this.end();
  }

  /** Records how an attempt without a whole answer ended. */
  recordFailure({ end, runTime }: AttemptResult, server: BackendServer): void {
    if (runTime === undefined) return;
    if (runTime >= soundRunTime) return this.#guard.recordSound(this.#parts);
    if (end.kind === "broken")
      this.#recorded = this.#guard.recordBreak(server, this.#parts);
  }

  /** Ends the trial of the request, if it holds one. */
  end(): void {
    const trial = this.#trial;
    this.#trial = undefined;
    // The next trial must know of the crash that this one has caused.
    if (trial !== undefined) void this.#recorded.then(() => trial.end());
  }
}
