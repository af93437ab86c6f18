import type { Outcome } from "../core/results/outcome.ts";

/** A request that a caller has sent. */
export type CallerRequest = {
  readonly id: string;
  readonly kind: "book" | "lookup" | "draft";
  /** Customer and idempotency key of a keyed booking. */
  readonly key: string | undefined;
  readonly body: string;
  readonly node: string;
  /** Complete text that a correct answer to a draft has. */
  readonly expected: string;
};

/** What a caller received; `broken` when its connection ended without an answer. */
export type CallerResult =
  | {
      readonly kind: "answer";
      readonly text: string;
      readonly replayed: boolean;
    }
  | {
      readonly kind: "refused";
      readonly code: string;
      readonly outcome: Outcome;
      /** Part of the answer received before the refusal. */
      readonly text: string;
    }
  | { readonly kind: "broken" };

/** One call that a booking server ran. */
export type ServiceExecution = {
  readonly requestId: string;
  readonly body: string;
  readonly lookup: boolean;
};

/**
 * Test oracle: checks the guarantees of the system from what callers received
 * and what back ends ran, without access to the state of the nodes.
 */
export class Oracle {
  readonly requests = new Map<string, CallerRequest>();
  readonly results = new Map<string, CallerResult>();
  readonly violations: string[] = [];
  /** Nodes that were drained and not killed since; they may break no connection. */
  readonly drained = new Set<string>();
  readonly #runs: ServiceExecution[] = [];
  readonly #runsOfKey = new Map<string, number>();
  readonly #draftRuns = new Set<string>();

  recordRequest(request: CallerRequest): void {
    this.requests.set(request.id, request);
  }

  /** Records and checks the result that a caller received; each request gets one result. */
  recordResult(id: string, result: CallerResult): void {
    const request = this.requests.get(id);
    if (request === undefined || this.results.has(id)) {
      this.violations.push(
        `${id}: answered more than once, or the request is unknown`,
      );
      return;
    }
    this.results.set(id, result);
    if (result.kind === "broken") {
      if (this.drained.has(request.node)) {
        this.violations.push(
          `${id}: connection cut off by a planned stop (drain)`,
        );
      }
      return;
    }
    if (request.kind === "draft") this.#checkDraft(request, result);
    else if (result.kind === "answer") this.#checkAnswer(request, result);
  }

  /** Records a call that a booking server ran; apart from lookups, neither the call nor its key may run again. */
  recordServiceRun(execution: ServiceExecution): void {
    this.#runs.push(execution);
    if (execution.lookup) return;
    const key =
      this.requests.get(execution.requestId)?.key ?? execution.requestId;
    const runs = (this.#runsOfKey.get(key) ?? 0) + 1;
    this.#runsOfKey.set(key, runs);
    if (runs > 1) this.violations.push(`${execution.body}: ran ${runs} times`);
  }

  /** Records a draft request that an engine started. */
  recordDraftRun(requestId: string): void {
    this.#draftRuns.add(requestId);
  }

  /** Runs the checks that need the whole history; call it once the simulation is quiescent. */
  checkHistory(): void {
    const serviceRuns = new Set(this.#runs.map(({ requestId }) => requestId));
    for (const request of this.requests.values()) {
      const result = this.results.get(request.id);
      if (result === undefined) {
        this.violations.push(`${request.id}: the request was never answered`);
      } else if (result.kind === "refused" && result.outcome === "not-run") {
        const runs = request.kind === "draft" ? this.#draftRuns : serviceRuns;
        if (runs.has(request.id)) {
          this.violations.push(
            `${request.id}: refused as not-run (${result.code}), but ran`,
          );
        }
      }
    }
  }

  /** How often a request ran, counted by its key if it has one. */
  countRuns(id: string): number {
    const key = this.requests.get(id)?.key ?? id;
    return this.#runsOfKey.get(key) ?? (this.#draftRuns.has(id) ? 1 : 0);
  }

  #checkDraft(
    request: CallerRequest,
    result: Exclude<CallerResult, { kind: "broken" }>,
  ): void {
    if (result.kind === "answer" && result.text !== request.expected) {
      this.violations.push(
        `${request.id}: wrong text in an answer reported as whole`,
      );
    }
    if (!request.expected.startsWith(result.text)) {
      this.violations.push(`${request.id}: wrong, missing or repeated token`);
    }
  }

  #checkAnswer(
    request: CallerRequest,
    result: { text: string; replayed: boolean },
  ): void {
    const answer = JSON.parse(result.text) as {
      requestId: string;
      body: string;
    };
    if (answer.body !== request.body) {
      this.violations.push(
        `${request.id}: received the answer to another call`,
      );
    }
    const isOwnRun = answer.requestId === request.id;
    if (isOwnRun === result.replayed) {
      this.violations.push(`${request.id}: wrong replayed flag`);
    }
    if (!this.#runs.some(({ requestId }) => requestId === answer.requestId)) {
      this.violations.push(
        `${request.id}: answered with the result of a call that did not run`,
      );
    }
  }
}
