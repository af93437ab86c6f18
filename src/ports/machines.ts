import type { Either } from "purify-ts";

/** A VM in the platform's list. */
export type Machine = {
  readonly name: string;
  readonly role: "entry" | "engine" | "service";
  /** `HOST:PORT` on which the machine serves. */
  readonly address: string;
  readonly state: "live" | "leaving";
};

/** List of live and leaving VMs, which may be out of date. */
export type MachineList = {
  list(): Promise<Either<{ readonly detail: string }, readonly Machine[]>>;
};
