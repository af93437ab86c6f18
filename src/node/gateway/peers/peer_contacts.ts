import type { Millis } from "../../../core/clock.ts";
import type { MachineName } from "../../../core/ids.ts";

/** Time without an answer after which a machine is not sent requests, in ms. */
const answerTimeout = 800;

/** Which other nodes answer this one. */
export class PeerContacts {
  readonly #now: () => Millis;
  readonly #unansweredSince = new Map<MachineName, Millis>();

  private constructor(now: () => Millis) {
    this.#now = now;
  }

  static create(now: () => Millis): PeerContacts {
    return new PeerContacts(now);
  }

  /** Records that a machine was sent a message that it must answer. */
  recordRequest(machine: MachineName): void {
    if (this.#unansweredSince.has(machine)) return;
    this.#unansweredSince.set(machine, this.#now());
  }

  /** Records that a message from a machine has arrived. */
  recordContact(machine: MachineName): void {
    this.#unansweredSince.delete(machine);
  }

  /** Time of the first message to a machine that it has not answered. */
  findUnansweredSince(machine: MachineName): Millis | undefined {
    return this.#unansweredSince.get(machine);
  }

  /** Whether a machine has not answered for so long that it is not expected to. */
  isUnresponsive(machine: MachineName): boolean {
    const since = this.#unansweredSince.get(machine);
    return since !== undefined && this.#now() > since + answerTimeout;
  }
}
