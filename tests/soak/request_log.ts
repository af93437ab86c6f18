import type { Arrival, Exchange } from "../rig/backend.ts";
import type { CallEnd } from "../rig/caller.ts";
import type { Calm } from "./calm.ts";
import type { Violation } from "./observations.ts";

/** One attempt of a caller. */
export type Attempt = {
  readonly requestId: string;
  /** Name of the machine that it was sent to. */
  readonly machine: string;
  /** Kind of request, such as `lookup`. */
  readonly kind: string;
  /** What the request is about; requests of one subject are alike for a caller. */
  readonly subject: string;
  readonly sentAt: number;
  /** How long the caller waits, in ms. */
  readonly deadline: number;
  /** Maximum number of servers that it may be sent to. */
  readonly maxAttempts: number;
  /** Whether it crashes servers, so that nobody misses its answer. */
  readonly isCrashing: boolean;
  /** Shared parts of its prompt; none without a model. */
  readonly parts?: readonly string[];
  /** Whether it takes up a stream that broke off. */
  readonly isTakeUp?: boolean;
};

/** How an attempt ended, and when. */
export type AttemptEnd = Attempt & {
  readonly endedAt: number;
  readonly status: number;
  readonly isWhole: boolean;
};

/** Time after the last byte of a request from which its connection must not end without an answer, in ms. */
const lossSlack = 200;
/** How much longer than the caller's a deadline at a server may be, in ms. */
const deadlineSlack = 500;
/** Numbers above which deadlines and attempts break their rules. */
const maxLateDeadlines = 20;
const maxOverAttempted = 3;
/** A subject counts if it was asked for so often. */
const minAsked = 4;
/** Subjects that may stay unserved: a number and a share of all. */
const allowedStarved = 2;
const allowedStarvedShare = 0.04;
/** Span at the end of a run in which each subject must be served, in ms. */
const recoveredSpan = 8_000;
/** Share of the average at which a kind of request must be served at least. */
const minServedShare = 0.25;
/** Kinds with fewer requests are not judged. */
const minRequests = 20;

/** Records attempts of callers and their arrivals at servers, and finds those without an answer and subjects that are never served. */
export class RequestLog {
  readonly #attempts = new Map<string, Attempt>();
  readonly #arrivals = new Map<string, Arrival[]>();
  /** Servers that have turned a request away without running it. */
  readonly #refusals = new Map<string, Set<string>>();
  readonly #ends: AttemptEnd[] = [];

  static create(): RequestLog {
    return new RequestLog();
  }

  /** All attempts that have ended. */
  get ends(): readonly AttemptEnd[] {
    return this.#ends;
  }

  find(requestId: string): Attempt | undefined {
    return this.#attempts.get(requestId);
  }

  recordAttempt(attempt: Attempt): void {
    this.#attempts.set(attempt.requestId, attempt);
  }

  recordArrival(arrival: Arrival): void {
    const known = this.#arrivals.get(arrival.requestId) ?? [];
    this.#arrivals.set(arrival.requestId, [...known, arrival]);
  }

  /** Records that a server has not run a request that has reached it. */
  recordRefusal({ requestId, backend }: Exchange): void {
    const known = this.#refusals.get(requestId) ?? new Set();
    this.#refusals.set(requestId, known.add(backend.id));
  }

  recordEnd(end: CallEnd): void {
    const attempt = this.#attempts.get(end.requestId);
    if (attempt === undefined) return;
    const { status, isWhole } = end;
    const endedAt = performance.now();
    this.#ends.push({ ...attempt, endedAt, status, isWhole });
  }

  /** What was found, given when machines and servers were disturbed. */
  findViolations(calm: Calm): Violation[] {
    return [
      ...this.#findUnanswered(calm),
      ...this.#findLongDeadlines(calm),
      ...this.#findOverAttempted(),
      ...this.#findStarvedSubjects("never served", this.#missedEnds),
      ...this.#findStarvedSubjects("not served again", this.#recoveredEnds),
      ...this.#findStarvedKinds(),
    ];
  }

  #findUnanswered(calm: Calm): Violation[] {
    return this.#ends
      .filter((end) => this.#isUnanswered(end, calm))
      .map((end) => ({
        rule: "ended without an answer",
        detail: `${end.kind} ${end.requestId} at ${end.machine}, sent ${at(end.sentAt)}, ended ${at(end.endedAt)}, status ${end.status}, ${this.#countArrivals(end)} arrivals`,
      }));
  }

  #isUnanswered(end: AttemptEnd, calm: Calm): boolean {
    const { status, isWhole, sentAt, endedAt, deadline, machine } = end;
    if (status !== 0 && isWhole) return false;
    if (endedAt - sentAt >= deadline - lossSlack) return false;
    if (!calm.hasLasted([machine], sentAt, endedAt)) return false;
    const arrivals = this.#arrivals.get(end.requestId) ?? [];
    if (status === 0)
      return arrivals.length > 0 || endedAt - sentAt > lossSlack;
    const servers = arrivals.map(({ backend }) => backend);
    return calm.hasLasted(servers, sentAt, endedAt);
  }

  #countArrivals({ requestId }: Attempt): number {
    return this.#arrivals.get(requestId)?.length ?? 0;
  }

  #findLongDeadlines(calm: Calm): Violation[] {
    let late = 0;
    for (const [requestId, arrivals] of this.#arrivals) {
      const attempt = this.#attempts.get(requestId);
      if (attempt === undefined) continue;
      for (const { at, deadline = Infinity } of arrivals) {
        if (!calm.hasLasted([attempt.machine], at)) continue;
        const first = arrivals[0] as Arrival;
        const end = Math.max(
          attempt.sentAt + attempt.deadline,
          first.at + (first.deadline ?? 0),
        );
        const isLate =
          deadline > attempt.deadline + deadlineSlack ||
          (at > first.at + deadlineSlack &&
            at + deadline > end + deadlineSlack);
        if (isLate) late++;
      }
    }
    if (late <= maxLateDeadlines) return [];
    return [{ rule: "more time than is left", detail: `${late} arrivals` }];
  }

  #findOverAttempted(): Violation[] {
    const over = [...this.#arrivals].filter(([requestId, arrivals]) => {
      const attempt = this.#attempts.get(requestId);
      const refused = this.#refusals.get(requestId);
      const servers = new Set(
        arrivals
          .map(({ backend }) => backend)
          .filter((backend) => refused?.has(backend) !== true),
      );
      return attempt !== undefined && servers.size > attempt.maxAttempts;
    });
    if (over.length <= maxOverAttempted) return [];
    const detail = over.map(([requestId]) => requestId).join(", ");
    return [{ rule: "more servers than attempts", detail }];
  }

  /** Attempts of the last seconds of the run, after all disturbances have ended. */
  get #recoveredEnds(): readonly AttemptEnd[] {
    const last = this.#ends.at(-1)?.sentAt ?? 0;
    return this.#missedEnds.filter(
      ({ sentAt }) => sentAt > last - recoveredSpan,
    );
  }

  #findStarvedSubjects(
    rule: string,
    attempts: readonly AttemptEnd[],
  ): Violation[] {
    const subjects = groupBy(
      attempts,
      ({ kind, subject }) => `${kind} ${subject}`,
    );
    const asked = [...subjects].filter(([, ends]) => ends.length >= minAsked);
    const starved = asked.filter(([, ends]) => !ends.some(isServed));
    const allowed = allowedStarved + allowedStarvedShare * asked.length;
    if (starved.length <= allowed) return [];
    const names = starved.map(([name, ends]) => `${name} (${ends.length})`);
    const detail = `${starved.length} of ${asked.length}: ${names.join(", ")}`;
    return [{ rule: `subjects ${rule}`, detail }];
  }

  get #missedEnds(): readonly AttemptEnd[] {
    return this.#ends.filter(({ isCrashing }) => !isCrashing);
  }

  #findStarvedKinds(): Violation[] {
    const ends = this.#missedEnds;
    const share = countServed(ends) / ends.length;
    const kinds = groupBy(ends, ({ kind }) => kind);
    return [...kinds]
      .filter(([, ends]) => ends.length >= minRequests)
      .filter(
        ([, ends]) => countServed(ends) / ends.length < share * minServedShare,
      )
      .map(([kind, ends]) => ({
        rule: "kind of request starved",
        detail: `${kind}: ${countServed(ends)} of ${ends.length}, all ${share.toFixed(2)}`,
      }));
  }
}

/** Items by a key, in their order. */
function groupBy<Item>(
  items: readonly Item[],
  readKey: (item: Item) => string,
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = readKey(item);
    const group = groups.get(key) ?? [];
    group.push(item);
    groups.set(key, group);
  }
  return groups;
}

function isServed({ status, isWhole }: AttemptEnd): boolean {
  return status === 200 && isWhole;
}

function countServed(ends: readonly AttemptEnd[]): number {
  return ends.filter(isServed).length;
}

/** A time of the process as text, in s. */
function at(time: number): string {
  return `${(time / 1_000).toFixed(3)} s`;
}
