import type { Either } from "purify-ts";

/** One VM as the platform lists it. */
export type Machine = {
  readonly name: string;
  readonly role: "entry" | "engine" | "service";
  /** `HOST:PORT` that the machine serves on. */
  readonly address: string;
  readonly state: "live" | "leaving";
};

/** Lagging list of live and leaving VMs. */
export type MachineList = {
  list(): Promise<Either<{ readonly detail: string }, readonly Machine[]>>;
};
