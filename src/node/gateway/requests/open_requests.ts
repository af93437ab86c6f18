import type { Meter } from "../../../ports/journal.ts";
import { RequestTask, type RequestTaskOptions } from "./request_task.ts";

/** The requests that a node is serving. */
export class OpenRequests {
  readonly #meter: Meter;
  readonly #tasks = new Set<RequestTask>();
  #onIdle: () => void = () => {};

  private constructor(meter: Meter) {
    this.#meter = meter;
  }

  static create(meter: Meter): OpenRequests {
    return new OpenRequests(meter);
  }

  /** Number of requests in progress. */
  get size(): number {
    return this.#tasks.size;
  }

  /** Starts the task of a request. */
  start(options: RequestTaskOptions): RequestTask {
    const task = RequestTask.start(options, () => this.#remove(task));
    this.#tasks.add(task);
    this.#report();
    return task;
  }

  /** Resolves once no request is in progress. */
  whenIdle(): Promise<void> {
    return new Promise((resolve) => {
      this.#onIdle = resolve;
      if (this.#tasks.size === 0) resolve();
    });
  }

  /** Refuses every request that no server can have started. */
  refuseWaiting(): void {
    for (const task of [...this.#tasks]) task.refuseIfWaiting();
  }

  /** Ends the requests whose prompts were convicted, unless their servers have begun to answer. */
  withdrawConvicted(): void {
    for (const task of [...this.#tasks]) task.withdrawIfConvicted();
  }

  /** Frees the requests that wait at servers which are out of reach and may run again. */
  leaveUnreached(): void {
    for (const task of [...this.#tasks]) task.leaveUnreached();
  }

  /** Ends every request that is still in progress, shortly before the process exits. */
  endAll(): void {
    for (const task of [...this.#tasks]) task.endBeforeExit();
  }

  #remove(task: RequestTask): void {
    this.#tasks.delete(task);
    this.#report();
    if (this.#tasks.size === 0) this.#onIdle();
  }

  #report(): void {
    this.#meter.gauge("gateway_requests_open", this.#tasks.size);
  }
}
