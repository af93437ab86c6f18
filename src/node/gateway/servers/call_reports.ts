import {
  type Cancel,
  type Clock,
  type Millis,
  millis,
} from "../../../core/clock.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { ServerId } from "../../../core/ids.ts";

/** Time within which at most two reports of one server are sent, in ms: those of the start and the end of a call. */
const reportWindow = 40;

type ReportTimes = {
  /** Time of the latest report, and of the one before it. */
  latest: number;
  previous: number;
  /** Cancels the report that is put off; undefined if there is none. */
  cancel: Cancel | undefined;
};

type CallReportsOptions = {
  readonly clock: Clock;
  /** Sends what is true of a server at the time of the call. */
  readonly send: (server: BackendServer) => void;
};

/** Limits the rate of reports of each server; a change that comes too soon is reported later, with those after it. */
export class CallReports {
  readonly #options: CallReportsOptions;
  readonly #times = new Map<ServerId, ReportTimes>();

  private constructor(options: CallReportsOptions) {
    this.#options = options;
  }

  static create(options: CallReportsOptions): CallReports {
    return new CallReports(options);
  }

  /** Reports a server whose calls have changed. */
  report(server: BackendServer): void {
    const { clock } = this.#options;
    const times = this.#obtain(server.id);
    if (times.cancel !== undefined) return;
    const now = clock.now();
    const dueAt = times.previous + reportWindow;
    if (now >= dueAt) return this.#send(server, times, now);
    times.cancel = clock.schedule(millis(dueAt - now), () => {
      times.cancel = undefined;
      this.#send(server, times, clock.now());
    });
  }

  /** Removes a server that is gone. */
  forget(id: ServerId): void {
    this.#times.get(id)?.cancel?.();
    this.#times.delete(id);
  }

  stop(): void {
    for (const id of [...this.#times.keys()]) this.forget(id);
  }

  #send(server: BackendServer, times: ReportTimes, now: Millis): void {
    times.previous = times.latest;
    times.latest = now;
    this.#options.send(server);
  }

  #obtain(id: ServerId): ReportTimes {
    let times = this.#times.get(id);
    if (times === undefined) {
      const never = Number.NEGATIVE_INFINITY;
      times = { latest: never, previous: never, cancel: undefined };
      this.#times.set(id, times);
    }
    return times;
  }
}
