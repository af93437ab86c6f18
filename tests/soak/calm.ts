/** Time in ms for which nothing may have disturbed a process before its promises with a time bound hold. */
export const contactTime = 4_000;

/** Span in which something was disturbed; `end` is `Infinity` while it lasts. */
type Span = { readonly begin: number; end: number };

/** Remembers when processes, servers and the store were disturbed, by name. */
export class Calm {
  readonly #spans = new Map<string, Span[]>();

  static create(): Calm {
    return new Calm();
  }

  /** Begins a disturbance; returns a function that ends it. */
  disturb(subject: string, now = performance.now()): () => void {
    const span = { begin: now, end: Infinity };
    this.#spans.set(subject, [...(this.#spans.get(subject) ?? []), span]);
    return () => {
      span.end = Math.min(span.end, performance.now());
    };
  }

  /** Whether nothing disturbed the subjects from the contact time before `from` up to `to`. */
  hasLasted(subjects: readonly string[], from: number, to = from): boolean {
    return subjects.every((subject) =>
      (this.#spans.get(subject) ?? []).every(
        ({ begin, end }) => begin > to || end < from - contactTime,
      ),
    );
  }
}
