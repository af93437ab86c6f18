/** One row of the catalogue of log events. */
export type EventEntry = {
  readonly number: number;
  readonly level: "debug" | "info" | "warn" | "error";
  readonly meaning: string;
};
