/** Events of the process that came while it did not run, such as the closes of connections. */
export type EventBacklog = {
  /** Whether such events may still wait to be handled. */
  readonly isBehind: boolean;
  /** Resolves once the events that wait now have been handled. */
  whenHandled(): Promise<void>;
};

/** For processes whose events never wait, as in simulations. */
export const noBacklog: EventBacklog = {
  isBehind: false,
  whenHandled: () => Promise.resolve(),
};
