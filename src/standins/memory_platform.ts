import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "../core/clock.ts";
import type { Machine, MachineList } from "../ports/machines.ts";
import type { ObjectFailure, ObjectStore } from "../ports/objects.ts";

/** Object store in memory; an object's content never changes. */
export class MemoryObjectStore implements ObjectStore {
  outage = false;
  readonly #objects = new Map<string, Uint8Array>();

  async get(key: string): Promise<Either<ObjectFailure, Uint8Array>> {
    if (this.outage) return Left({ kind: "unavailable", detail: "Outage" });
    const content = this.#objects.get(key);
    if (content !== undefined) return Right(content);
    return Left({ kind: "missing", detail: `No object ${key}` });
  }

  async put(
    key: string,
    content: Uint8Array,
  ): Promise<Either<ObjectFailure, void>> {
    if (this.outage) return Left({ kind: "unavailable", detail: "Outage" });
    const existing = this.#objects.get(key);
    if (existing !== undefined && Buffer.compare(existing, content) !== 0) {
      const detail = `Object ${key} exists with different content`;
      return Left({ kind: "unavailable", detail });
    }
    this.#objects.set(key, content);
    return Right(undefined);
  }
}

/** VM list in memory that shows each change after a lag. */
export class MemoryMachineList implements MachineList {
  outage = false;
  readonly #clock: Clock;
  readonly #lag: number;
  readonly #history: { at: number; machines: readonly Machine[] }[] = [];

  constructor(clock: Clock, lag: number) {
    this.#clock = clock;
    this.#lag = lag;
  }

  /** Creates a list that shows each change `lag` ms after it was made. */
  static create(
    clock: Clock,
    { lag = 0 } = {},
  ): MachineList & MemoryMachineList {
    return new MemoryMachineList(clock, lag);
  }

  set(machines: readonly Machine[]): void {
    this.#history.push({ at: this.#clock.now(), machines });
  }

  async list(): Promise<Either<{ detail: string }, readonly Machine[]>> {
    if (this.outage) return Left({ detail: "Outage" });
    const visibleAt = this.#clock.now() - this.#lag;
    const visible = this.#history.findLast(({ at }) => at <= visibleAt);
    return Right((visible ?? this.#history[0])?.machines ?? []);
  }
}
