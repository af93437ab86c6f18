import {
  type Backend,
  type Serve,
  sealHead,
  streamEvents,
} from "../rig/backend.ts";
import {
  answerError,
  answerNotExecuted,
  endConnection,
  type Failure,
  resetConnection,
} from "../rig/failures.ts";
import type { Observations } from "./observations.ts";
import type { RequestLog } from "./request_log.ts";
import { eventCount } from "./traffic.ts";

/** Work of a booking or lookup, and the interval between two events of a stream, in ms. */
const workTime = 25;
const eventInterval = 40;

/** Ways in which a server may fail a request. */
const failures: readonly Failure[] = [
  answerNotExecuted,
  answerError,
  resetConnection,
  endConnection,
];

/** Runs bookings and lookups, and records the runs of bookings. */
export function createBookingService(observations: Observations): Serve {
  return ({ requestId, message, response }) => {
    if (message.url?.startsWith("/book/")) observations.recordRun(requestId);
    setTimeout(() => {
      response.writeHead(200, sealHead(requestId)).end(`ran ${requestId}`);
    }, workTime);
  };
}

/** Streams events that name their stream and the software version that wrote them. */
export const serveStream: Serve = streamEvents({
  count: eventCount,
  gap: eventInterval,
  describe: ({ id, version, message }) =>
    `event ${id} of ${message.url?.split("/")[2]} by ${version}`,
});

/** Lets a server fail a share of its requests; returns a function that ends this. */
export function failRequests(
  backend: Backend,
  options: {
    readonly random: () => number;
    readonly share: number;
    readonly observations: Observations;
    readonly requests: RequestLog;
  },
): () => void {
  const { random, share, observations, requests } = options;
  const sound = backend.serve;
  const kind = Math.floor(random() * failures.length);
  const fail = failures[kind] as Failure;
  const failing: Serve = (exchange) => {
    if (random() >= share) return sound(exchange);
    const isBooking = exchange.message.url?.startsWith("/book/") === true;
    if (fail === answerNotExecuted) requests.recordRefusal(exchange);
    else if (isBooking) observations.recordRun(exchange.requestId);
    fail(exchange);
  };
  backend.serve = failing;
  return () => {
    if (backend.serve === failing) backend.serve = sound;
  };
}
