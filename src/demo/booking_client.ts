import { setTimeout as wait } from "node:timers/promises";

/** Maximum number of calls with the same key while the first one is in progress. */
const maxAttempts = 10;
/** Delay between these calls, in ms. */
const retryDelayMillis = 500;

/** Results of one booking, sent twice with the same key through two nodes. */
export type BookingResult = {
  readonly key: string;
  readonly first: BookingReply;
  readonly second: BookingReply;
};

/** Response to one booking call. */
export type BookingReply = {
  readonly status: number;
  readonly outcome: string;
  readonly replayed: boolean;
  /** Refused because the first call with the key has no recorded outcome yet. */
  readonly inProgress: boolean;
  readonly body: string;
};

/** Sends one booking, then repeats it through another node. */
export async function bookTwice(options: {
  origins: readonly [string, string];
  key: string;
  customer: string;
}): Promise<BookingResult> {
  const { origins, key, customer } = options;
  const first = await book(origins[0], { key, customer });
  let second = await book(origins[1], { key, customer });
  for (
    let attempts = 1;
    second.inProgress && attempts < maxAttempts;
    attempts++
  ) {
    await wait(retryDelayMillis);
    second = await book(origins[1], { key, customer });
  }
  return { key, first, second };
}

async function book(
  origin: string,
  { key, customer }: { key: string; customer: string },
): Promise<BookingReply> {
  const response = await fetch(`${origin}/services/chains/reservations`, {
    method: "POST",
    headers: {
      "idempotency-key": key,
      "x-customer": customer,
      "content-type": "application/json",
    },
    body: JSON.stringify({ set: "9 mm", booking: key }),
  });
  const body = (await response.text()).trim();
  return {
    status: response.status,
    inProgress: body.includes('"callInProgress"'),
    outcome: response.headers.get("x-outcome") ?? "",
    replayed: response.headers.get("idempotent-replayed") === "true",
    body,
  };
}
