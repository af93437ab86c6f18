import {
  type Cancel,
  type Clock,
  type Millis,
  millis,
} from "../../core/clock.ts";
import type { EventBacklog } from "../../ports/event_backlog.ts";

/** Interval of the checks, in ms. */
const checkInterval = millis(100);
/** Age of the latest check from which events may be waiting, in ms. */
const maxCheckAge = 250;
/** Time after a standstill in which connections from it are still being accepted, in ms; it begins anew while the loop is slow. */
const recoveryTime = 250;
/** Time from which the turns of a check are slow, in ms. */
const slowTurns = 40;
/** Turns of the event loop from the arrival of a close until it is reported: it is read, answered and closed. */
const turnsToClose = 4;

/**
 * Knows whether the event loop has handled what came up to now. After a
 * standstill the timers run first, and a request is read before the close that
 * follows it on its connection.
 */
export class LoopBacklog implements EventBacklog {
  readonly #clock: Clock;
  /** Events that came before this time have been handled. */
  #handledAt: Millis;
  /** End of the time after the latest standstill. */
  #recoversUntil = millis(Number.NEGATIVE_INFINITY);
  #isChecking = false;
  #waiting: (() => void)[] = [];
  #cancelCheck: Cancel = () => {};

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#handledAt = clock.now();
  }

  static create(clock: Clock): LoopBacklog {
    const backlog = new LoopBacklog(clock);
    backlog.#scheduleCheck();
    return backlog;
  }

  get isBehind(): boolean {
    const now = this.#clock.now();
    return now > this.#handledAt + maxCheckAge || now < this.#recoversUntil;
  }

  whenHandled(): Promise<void> {
    const handled = new Promise<void>((resolve) => this.#waiting.push(resolve));
    this.#check();
    return handled;
  }

  stop(): void {
    this.#cancelCheck();
  }

  #scheduleCheck(): void {
    this.#cancelCheck = this.#clock.schedule(checkInterval, () => {
      // Scheduled first, so that a check that fails does not end the checks.
      this.#scheduleCheck();
      this.#check();
    });
  }

  /** Lets the loop turn; those that began to wait meanwhile need a check of their own. */
  #check(): void {
    if (this.#isChecking) return;
    this.#isChecking = true;
    const startedAt = this.#clock.now();
    if (startedAt > this.#handledAt + maxCheckAge)
      this.#recoversUntil = millis(startedAt + recoveryTime);
    const served = this.#waiting;
    this.#waiting = [];
    this.#turn(turnsToClose, () => {
      this.#isChecking = false;
      this.#handledAt = startedAt;
      this.#prolongRecovery(startedAt);
      for (const resolve of served) resolve();
      if (this.#waiting.length > 0) this.#check();
    });
  }

  /** Begins the time after a standstill anew if the loop has been slow in it. */
  #prolongRecovery(startedAt: Millis): void {
    const now = this.#clock.now();
    const isRecovering = startedAt < this.#recoversUntil;
    if (isRecovering && now > startedAt + slowTurns)
      this.#recoversUntil = millis(now + recoveryTime);
  }

  #turn(turns: number, onDone: () => void): void {
    setImmediate(() => (turns > 1 ? this.#turn(turns - 1, onDone) : onDone()));
  }
}
