/** Whether a back end ran a request, as far as the sender can know. */
export type Outcome = "not-run" | "ran" | "may-have-run";
