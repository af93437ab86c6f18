import { type Millis, millis, sleep } from "../../../core/clock.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import {
  brandString,
  type Digest,
  type MachineName,
} from "../../../core/ids.ts";
import type { PoisonStatus } from "../../../core/poison/record.ts";
import {
  isSoundUnit,
  recordSoundUnits,
  type SoundUnits,
} from "../../../core/poison/sound_units.ts";
import {
  claimTrial,
  endTrials,
  holdsTrial,
  maxTrialTime,
  recordTrialClaim,
  type Trials,
} from "../../../core/poison/trials.ts";
import { isRequestDigest } from "../../../core/poison/units.ts";
import type { PoisonMessage } from "../../../ports/nodes.ts";
import type { PoisonManager } from "../../poison_manager.ts";
import type { GatewayContext } from "../context.ts";
import type { CrashCheck } from "./crash_check.ts";

/** Interval at which a request waits for the result of a trial, in ms. */
const pollInterval = millis(40);
/** Time for which a request that holds all suspects leaves their trial to one that holds fewer, in ms. */
const yieldTime = 300;
/** Time for claims of other nodes that cross that of a trial to arrive, in ms. */
const claimTime = millis(60);

/** Number of nodes that report a part which they know to be sound, if all of them lose requests with it. */
const reportersOfSound = 4;

/** Whether a request may run now. */
export type PoisonDecision =
  /** With a trial, the request may run only while the node holds it. */
  | { readonly kind: "admitted"; readonly trial: PoisonTrial | undefined }
  | { readonly kind: "convicted" }
  /** Another request with the same units was on trial until the end of the wait. */
  | { readonly kind: "late" };

/** Permission to run the only request with certain suspect units. */
export type PoisonTrial = {
  /** Whether the node still holds the trial. */
  readonly isHeld: () => boolean;
  readonly end: () => void;
};

type PoisonGuardOptions = {
  readonly context: GatewayContext;
  readonly poison: PoisonManager;
  readonly crashes: CrashCheck;
  readonly broadcast: (message: PoisonMessage) => void;
};

/**
 * Keeps requests that crash servers, or whose prompts hold a part that does,
 * away from them. Such a unit is suspected after one crash; its requests run one
 * at a time until it is shown to be sound or crashes a second server.
 */
export class PoisonGuard {
  readonly #options: PoisonGuardOptions;
  readonly #sound: SoundUnits = new Map();
  readonly #trials: Trials = new Map();

  private constructor(options: PoisonGuardOptions) {
    this.#options = options;
  }

  static create(options: PoisonGuardOptions): PoisonGuard {
    return new PoisonGuard(options);
  }

  /** Status of a request with these units. */
  assess(units: readonly Digest[]): PoisonStatus {
    return this.#options.poison.assess(units, (unit) => this.#isSound(unit));
  }

  /** Waits until a request may run, at most until `until`. */
  async admit(
    units: readonly Digest[],
    { until, hasEnded }: { until: Millis; hasEnded: () => boolean },
  ): Promise<PoisonDecision> {
    const { clock } = this.#options.context.dependencies;
    const yieldUntil = this.#now() + yieldTime;
    for (;;) {
      const status = this.assess(units);
      if (status === "unknown") return { kind: "admitted", trial: undefined };
      if (status === "convicted") return { kind: "convicted" };
      const yields = this.#now() < yieldUntil && this.#isAmbiguous(units);
      const trial = yields ? undefined : await this.#startTrial(units);
      if (trial !== undefined) return { kind: "admitted", trial };
      if (hasEnded() || this.#now() + pollInterval >= until)
        return { kind: "late" };
      await sleep(clock, pollInterval);
    }
  }

  /** Whether an admitted request may still be sent. */
  maySend(units: readonly Digest[], trial: PoisonTrial | undefined): boolean {
    const status = this.assess(units);
    if (status === "unknown") return true;
    return status === "suspect" && trial?.isHeld() === true;
  }

  /** Records that a request with these units has run without a crash. */
  recordSound(units: readonly Digest[]): void {
    recordSoundUnits(this.#sound, units, this.#now());
    for (const unit of units) this.#options.poison.proveSound(unit);
  }

  /** Records that the answer to a request broke off before it began, or soon after. */
  async recordBreak(
    server: BackendServer,
    units: readonly Digest[],
  ): Promise<void> {
    const digests = this.#selectReported(units);
    if (digests.length === 0 || !(await this.hasCrashed(server))) return;
    this.#options.poison.suspect({
      engine: brandString(server.id),
      boot: String(server.born ?? server.address),
      digests,
    });
  }

  /** Whether a server whose answer has ended or broken off has gone down. */
  async hasCrashed(server: BackendServer): Promise<boolean> {
    const { crashes, context } = this.#options;
    // A paused server is not asked whether it has crashed.
    if (context.availability.isPaused(server)) return false;
    return (await crashes.isDown(server)) && !context.reach.isLost;
  }

  /** Units to report after a crash; of the parts that run well at many nodes, few nodes report them. */
  #selectReported(units: readonly Digest[]): Digest[] {
    const { context } = this.#options;
    const share = reportersOfSound / context.nodeCount;
    return units.filter(
      (unit) =>
        isRequestDigest(unit) ||
        !this.#isSound(unit) ||
        context.dependencies.random() < share,
    );
  }

  /** Handles a message of another node. */
  receive(message: PoisonMessage): void {
    if (message.type === "trial") {
      const { from: machine, units, duration } = message;
      const claim = { machine, units, duration };
      return recordTrialClaim(this.#trials, claim, this.#now());
    }
    const { type, digest, record } = message;
    if (type === "crashes")
      return this.#options.poison.receiveRecord(digest, record);
    this.#options.poison.receiveBroadcast(digest, record);
  }

  #isAmbiguous(units: readonly Digest[]): boolean {
    const { poison } = this.#options;
    return poison.isAmbiguous(units, (unit) => this.#isSound(unit));
  }

  /** Claims the trial of the suspects among the units; undefined if another node has it. */
  async #startTrial(
    units: readonly Digest[],
  ): Promise<PoisonTrial | undefined> {
    const { poison, broadcast, context } = this.#options;
    const machine = this.#machine();
    const suspected = units.filter((unit) => poison.isSuspected(unit));
    const unknown = suspected.filter((unit) => !this.#isSound(unit));
    const suspects = unknown.length > 0 ? unknown : suspected;
    const claim = { machine, units: suspects, duration: maxTrialTime };
    if (!claimTrial(this.#trials, claim, this.#now())) return undefined;
    const announced = suspects.filter((unit) => poison.isKnownToAll(unit));
    const announce = (duration: Millis) => {
      if (announced.length === 0) return;
      broadcast({ type: "trial", from: machine, units: announced, duration });
    };
    const isHeld = () => holdsTrial(this.#trials, claim, this.#now());
    const end = () => {
      endTrials(this.#trials, claim);
      announce(millis(0));
    };
    announce(maxTrialTime);
    if (announced.length > 0 && context.nodeCount > 1)
      await sleep(context.dependencies.clock, claimTime);
    if (isHeld()) return { isHeld, end };
    end();
    return undefined;
  }

  #isSound(unit: Digest): boolean {
    return isSoundUnit(this.#sound, unit, this.#now());
  }

  #machine(): MachineName {
    return this.#options.context.dependencies.identity.machine;
  }

  #now(): Millis {
    return this.#options.context.now();
  }
}
