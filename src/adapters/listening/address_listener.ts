import {
  type Cancel,
  type Clock,
  type Millis,
  millis,
} from "../../core/clock.ts";
import {
  decideListenRetry,
  findListenRemedy,
} from "../../core/listening/listen_retry.ts";
import type { Journal, Meter } from "../../ports/journal.ts";

/** Options of {@link AddressListener}. */
export type AddressListenerOptions = {
  /** Name of the listener in log lines and metrics. */
  readonly name: string;
  /** `IP:PORT`. */
  readonly address: string;
  /** Opens the socket; rejects if the address cannot be used. `onLost` reports that an open socket has closed. */
  readonly open: (onLost: () => void) => Promise<unknown>;
  /** Time within which the address must be open at the start. */
  readonly timeout: Millis;
  readonly clock: Clock;
  readonly journal: Journal;
  readonly meter: Meter;
};

/**
 * Opens one address, and tries again while the address cannot be used. The
 * predecessor of a restarted process, or a connection of another process, may
 * still hold it.
 */
export class AddressListener {
  /** Resolves once the address is open for the first time; rejects when it is not in time. */
  readonly opened: Promise<void>;
  readonly #options: AddressListenerOptions;
  #isOpen = false;
  #isStopped = false;
  #cancelRetry: Cancel = () => {};

  private constructor(options: AddressListenerOptions) {
    this.#options = options;
    this.opened = new Promise((resolve, reject) =>
      this.#open(options.timeout, { resolve, reject }),
    );
  }

  static start(options: AddressListenerOptions): AddressListener {
    return new AddressListener(options);
  }

  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Ends the attempts; an open socket is left to its owner. */
  stop(): void {
    this.#isStopped = true;
    this.#cancelRetry();
  }

  #open(
    timeout: Millis | undefined,
    result: { resolve(): void; reject(error: Error): void },
  ): void {
    const { clock, journal, name, address } = this.#options;
    const startedAt = clock.now();
    let attempt = 0;
    const succeed = (): void => {
      this.#isOpen = true;
      if (attempt > 1)
        journal.record("listenerOpened", { listener: name, address });
      result.resolve();
    };
    const fail = (error: NodeJS.ErrnoException): void => {
      if (this.#isStopped) return;
      const elapsed = millis(clock.now() - startedAt);
      const next = decideListenRetry({ attempt, elapsed, timeout });
      this.#report(error, { attempt, isLast: next.kind === "give-up" });
      if (next.kind === "give-up") result.reject(error);
      else this.#cancelRetry = clock.schedule(next.pause, tryOnce);
    };
    const tryOnce = (): void => {
      attempt++;
      this.#options.open(() => this.#reopen()).then(succeed, fail);
    };
    tryOnce();
  }

  /** Opens a socket that has closed while the node runs; the node goes on meanwhile, so there is no bound. */
  #reopen(): void {
    this.#isOpen = false;
    if (this.#isStopped) return;
    this.#open(undefined, { resolve() {}, reject() {} });
  }

  #report(
    error: NodeJS.ErrnoException,
    { attempt, isLast }: { attempt: number; isLast: boolean },
  ): void {
    const { journal, meter, name, address } = this.#options;
    meter.count("listen_failures_total", { listener: name });
    journal.record(isLast ? "listenFailed" : "listenRetried", {
      listener: name,
      address,
      attempt,
      detail: error.message,
      remedy: findListenRemedy(error.code),
    });
  }
}
