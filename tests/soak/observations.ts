import type { CallEnd } from "../rig/caller.ts";

/** A broken promise of the installation, with the evidence. */
export type Violation = { readonly rule: string; readonly detail: string };

/** What one event of a stream says of its origin. */
export type StreamEvent = {
  readonly id: number;
  readonly stream: string;
  readonly version: string;
};

/** Statuses by which a node promises that a request was not and will not be run. */
const notRunStatuses: ReadonlySet<number> = new Set([401, 408, 421, 429, 503]);

/** Reads the events of an answer; what is no event of the expected form is left out. */
export function readEvents(text: string): StreamEvent[] {
  const form = /id: (\d+)\ndata: event \d+ of (\S+) by (\S+)\n\n/g;
  return [...text.matchAll(form)].map(([, id, stream, version]) => ({
    id: Number(id),
    stream: stream as string,
    version: version as string,
  }));
}

/** Collects runs, answers and streams of one soak, and finds what contradicts the promises to callers. */
export class Observations {
  readonly #runs = new Map<string, number>();
  readonly #refused = new Map<string, number>();
  readonly #streams = new Map<string, StreamEvent[]>();
  readonly #violations: Violation[] = [];
  /** Number of answers by route and status; 0 stands for none. */
  readonly answers = new Map<string, number>();

  static create(): Observations {
    return new Observations();
  }

  add(rule: string, detail: string): void {
    this.#violations.push({ rule, detail });
  }

  /** Records that a server has begun to run a request that must run at most once. */
  recordRun(requestId: string): void {
    const runs = (this.#runs.get(requestId) ?? 0) + 1;
    this.#runs.set(requestId, runs);
    if (runs > 1) this.add("run more than once", requestId);
  }

  recordAnswer(route: string, { status, isWhole }: CallEnd): void {
    const key = `${route} ${isWhole ? status : `${status} broken off`}`;
    this.answers.set(key, (this.answers.get(key) ?? 0) + 1);
  }

  /** Records the answer to a request that must run at most once. */
  recordOnce({ requestId, status, text, isWhole }: CallEnd): void {
    if (notRunStatuses.has(status)) this.#refused.set(requestId, status);
    if (status === 200 && isWhole && text !== `ran ${requestId}`)
      this.add("answer of another request", `${requestId} got ${text}`);
  }

  /** Records what a caller got of a stream, over all its attempts in order. */
  recordStream(
    stream: string,
    text: string,
    end: { isWhole: boolean; count: number },
  ): void {
    const known = this.#streams.get(stream) ?? [];
    this.#streams.set(stream, known);
    for (const event of readEvents(text)) {
      const expected = known.length + 1;
      if (event.stream !== stream)
        this.add("event of another stream", `${stream} got ${event.stream}`);
      if (event.id !== expected)
        this.add("events out of order", `${stream}: ${event.id}, ${expected}`);
      known.push(event);
    }
    const versions = new Set(known.map(({ version }) => version));
    if (versions.size > 1)
      this.add("versions joined", `${stream}: ${[...versions].join(", ")}`);
    if (end.isWhole && known.length < end.count)
      this.add("ended early as whole", `${stream} after ${known.length}`);
  }

  /** Number of events that the caller of a stream has. */
  countEvents(stream: string): number {
    return this.#streams.get(stream)?.length ?? 0;
  }

  findViolations(): Violation[] {
    const refused = [...this.#refused]
      .filter(([requestId]) => this.#runs.has(requestId))
      .map(([requestId, status]) => ({
        rule: "run though refused as not run",
        detail: `${requestId} got ${status}`,
      }));
    return [...this.#violations, ...refused];
  }
}
