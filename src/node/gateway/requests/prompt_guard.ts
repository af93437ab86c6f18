import { type Millis, millis, sleep } from "../../../core/clock.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import {
  brandString,
  type Digest,
  type MachineName,
} from "../../../core/ids.ts";
import type { PoisonStatus } from "../../../core/poison/record.ts";
import {
  isSoundPart,
  recordSoundParts,
  type SoundParts,
} from "../../../core/poison/sound_parts.ts";
import {
  claimTrial,
  endTrials,
  holdsTrial,
  maxTrialTime,
  recordTrialClaim,
  type Trials,
} from "../../../core/poison/trials.ts";
import type { PoisonMessage } from "../../../ports/nodes.ts";
import type { PoisonManager } from "../../poison_manager.ts";
import type { GatewayContext } from "../context.ts";
import type { CrashCheck } from "./crash_check.ts";

/** Interval at which a request waits for the result of a trial, in ms. */
const pollInterval = millis(40);

/** Number of nodes that report a part which they know to be sound, if all of them lose requests with it. */
const reportersOfSound = 4;

/** Whether a request may run now. */
export type PromptDecision =
  /** With a trial, the request may run only while the node holds it. */
  | { readonly kind: "admitted"; readonly trial: PromptTrial | undefined }
  | { readonly kind: "convicted" }
  /** Another request with the same parts was on trial until the end of the wait. */
  | { readonly kind: "late" };

/** Permission to run the only request with certain suspect parts. */
export type PromptTrial = {
  /** Whether the node still holds the trial. */
  readonly isHeld: () => boolean;
  readonly end: () => void;
};

type PromptGuardOptions = {
  readonly context: GatewayContext;
  readonly poison: PoisonManager;
  readonly crashes: CrashCheck;
  readonly broadcast: (message: PoisonMessage) => void;
};

/**
 * Keeps requests whose prompts hold a part that crashes engines away from them.
 * Parts are suspected after one crash and run one request at a time until they
 * are shown to be sound or crash a second engine.
 */
export class PromptGuard {
  readonly #options: PromptGuardOptions;
  readonly #sound: SoundParts = new Map();
  readonly #trials: Trials = new Map();

  private constructor(options: PromptGuardOptions) {
    this.#options = options;
  }

  static create(options: PromptGuardOptions): PromptGuard {
    return new PromptGuard(options);
  }

  /** Status of a request with these parts. */
  assess(parts: readonly Digest[]): PoisonStatus {
    if (parts.length === 0) return "unknown";
    return this.#options.poison.assess(parts, (part) => this.#isSound(part));
  }

  /** Waits until a request may run, at most until `until`. */
  async admit(
    parts: readonly Digest[],
    { until, hasEnded }: { until: Millis; hasEnded: () => boolean },
  ): Promise<PromptDecision> {
    const { clock } = this.#options.context.dependencies;
    for (;;) {
      const status = this.assess(parts);
      if (status === "unknown") return { kind: "admitted", trial: undefined };
      if (status === "convicted") return { kind: "convicted" };
      const trial = this.#startTrial(parts);
      if (trial !== undefined) return { kind: "admitted", trial };
      if (hasEnded() || this.#now() + pollInterval >= until)
        return { kind: "late" };
      await sleep(clock, pollInterval);
    }
  }

  /** Whether an admitted request may still be sent. */
  maySend(parts: readonly Digest[], trial: PromptTrial | undefined): boolean {
    const status = this.assess(parts);
    if (status === "unknown") return true;
    return status === "suspect" && trial?.isHeld() === true;
  }

  /** Records that a request with these parts has run without a crash. */
  recordSound(parts: readonly Digest[]): void {
    if (parts.length === 0) return;
    recordSoundParts(this.#sound, parts, this.#now());
    for (const part of parts) this.#options.poison.proveSound(part);
  }

  /** Records that the answer to a request broke off soon after it began. */
  async recordBreak(
    server: BackendServer,
    parts: readonly Digest[],
  ): Promise<void> {
    const { crashes, poison, context } = this.#options;
    // A paused engine is not asked whether it has crashed.
    if (context.availability.isPaused(server)) return;
    const digests = this.#selectReported(parts);
    if (digests.length === 0 || !(await crashes.isDown(server))) return;
    poison.suspect({
      engine: brandString(server.id),
      boot: String(server.born ?? server.address),
      digests,
    });
  }

  /** Parts to report after a crash; of those that run well at many nodes, few nodes report them. */
  #selectReported(parts: readonly Digest[]): Digest[] {
    const { context } = this.#options;
    const share = reportersOfSound / context.nodeCount;
    return parts.filter(
      (part) => !this.#isSound(part) || context.dependencies.random() < share,
    );
  }

  /** Handles a message of another node. */
  receive(message: PoisonMessage): void {
    if (message.type === "trial") {
      const { from: machine, parts, duration } = message;
      const claim = { machine, parts, duration };
      return recordTrialClaim(this.#trials, claim, this.#now());
    }
    const { digest, record } = message;
    this.#options.poison.receiveBroadcast(digest, record);
  }

  #startTrial(parts: readonly Digest[]): PromptTrial | undefined {
    const { poison, broadcast } = this.#options;
    const machine = this.#machine();
    const suspected = parts.filter((part) => poison.isSuspected(part));
    const unknown = suspected.filter((part) => !this.#isSound(part));
    const suspects = unknown.length > 0 ? unknown : suspected;
    const claim = { machine, parts: suspects, duration: maxTrialTime };
    if (!claimTrial(this.#trials, claim, this.#now())) return undefined;
    const announce = (duration: Millis) =>
      broadcast({ type: "trial", from: machine, parts: suspects, duration });
    announce(maxTrialTime);
    return {
      isHeld: () => holdsTrial(this.#trials, claim, this.#now()),
      end: () => {
        endTrials(this.#trials, claim);
        announce(millis(0));
      },
    };
  }

  #isSound(part: Digest): boolean {
    return isSoundPart(this.#sound, part, this.#now());
  }

  #machine(): MachineName {
    return this.#options.context.dependencies.identity.machine;
  }

  #now(): Millis {
    return this.#options.context.now();
  }
}
