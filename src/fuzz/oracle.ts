import type { Outcome } from "../core/results/outcome.ts";

/** What a caller asked for. */
export type CallerRequest = {
  readonly id: string;
  readonly kind: "book" | "lookup" | "draft";
  /** Customer and idempotency key. */
  readonly key: string | undefined;
  readonly body: string;
  readonly node: string;
  /** Text that a whole answer of a draft must have. */
  readonly expectedText: string;
};

/** What a caller was told, or `broken` when its connection ended without an answer. */
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
      /** Part of an answer that came before. */
      readonly text: string;
    }
  | { readonly kind: "broken" };

/** What a back end ran. */
export type ServiceExecution = {
  readonly requestId: string;
  readonly body: string;
  readonly lookup: boolean;
};

/**
 * Judges the answers of the system by what callers were told and what back ends
 * ran, without knowing how the system works.
 */
export class Oracle {
  readonly requests = new Map<string, CallerRequest>();
  readonly results = new Map<string, CallerResult>();
  readonly violations: string[] = [];
  /** Nodes that were told to stop in a planned way and not disturbed since. */
  readonly drained = new Set<string>();
  readonly #runs: ServiceExecution[] = [];
  readonly #runsOfKey = new Map<string, number>();
  readonly #draftRuns = new Set<string>();

  recordRequest(asked: CallerRequest): void {
    this.requests.set(asked.id, asked);
  }

  /** Notes what the caller of a request was told; each caller is told once. */
  recordResult(id: string, told: CallerResult): void {
    const asked = this.requests.get(id);
    if (asked === undefined || this.results.has(id)) {
      this.violations.push(`${id}: answered twice or never asked`);
      return;
    }
    this.results.set(id, told);
    if (told.kind === "broken") {
      if (this.drained.has(asked.node)) {
        this.violations.push(`${id}: cut off by a planned stop`);
      }
      return;
    }
    if (asked.kind === "draft") this.#checkDraft(asked, told);
    else if (told.kind === "answer") this.#checkAnswer(asked, told);
  }

  /** Notes a call that a booking server ran; it must not run again, nor its key. */
  recordServiceRun(ran: ServiceExecution): void {
    this.#runs.push(ran);
    if (ran.lookup) return;
    const key = this.requests.get(ran.requestId)?.key ?? ran.requestId;
    const runs = (this.#runsOfKey.get(key) ?? 0) + 1;
    this.#runsOfKey.set(key, runs);
    if (runs > 1) this.violations.push(`${ran.body}: ran ${runs} times`);
  }

  /** Notes a request that an engine started. */
  recordDraftRun(requestId: string): void {
    this.#draftRuns.add(requestId);
  }

  /** Checks that need the whole history; call it when nothing moves any more. */
  checkHistory(): void {
    const ran = new Set(this.#runs.map(({ requestId }) => requestId));
    for (const asked of this.requests.values()) {
      const told = this.results.get(asked.id);
      if (told === undefined) {
        this.violations.push(`${asked.id}: never answered`);
      } else if (told.kind === "refused" && told.outcome === "not-run") {
        const runs = asked.kind === "draft" ? this.#draftRuns : ran;
        if (runs.has(asked.id)) {
          this.violations.push(
            `${asked.id}: told not-run (${told.code}), but ran`,
          );
        }
      }
    }
  }

  /** Runs of a request, and of its key if it has one. */
  countRuns(id: string): number {
    const key = this.requests.get(id)?.key ?? id;
    return this.#runsOfKey.get(key) ?? (this.#draftRuns.has(id) ? 1 : 0);
  }

  #checkDraft(
    asked: CallerRequest,
    told: Exclude<CallerResult, { kind: "broken" }>,
  ): void {
    if (told.kind === "answer" && told.text !== asked.expectedText) {
      this.violations.push(`${asked.id}: told a wrong answer as whole`);
    }
    if (!asked.expectedText.startsWith(told.text)) {
      this.violations.push(`${asked.id}: a crossed or repeated token`);
    }
  }

  #checkAnswer(
    asked: CallerRequest,
    told: { text: string; replayed: boolean },
  ): void {
    const answer = JSON.parse(told.text) as { requestId: string; body: string };
    if (answer.body !== asked.body) {
      this.violations.push(`${asked.id}: got another call's answer`);
    }
    const own = answer.requestId === asked.id;
    if (own === told.replayed) {
      this.violations.push(`${asked.id}: replayed flag is wrong`);
    }
    if (!this.#runs.some(({ requestId }) => requestId === answer.requestId)) {
      this.violations.push(`${asked.id}: answered without a run`);
    }
  }
}
