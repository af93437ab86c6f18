import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { answerAfter, type Serve, sealHead } from "./backend.ts";
import { type CallEnd, sendCall } from "./caller.ts";
import {
  bookingRoute,
  configuration,
  Installation,
  lookupRoute,
} from "./installation.ts";

/** Time limit of the routes, and how long after it callers wait for an answer at most, in ms. */
const timeLimit = 1_000;
const slack = 500;
/** Time between two lookups, and for how long they are sent, in ms. */
const lookupInterval = 50;
const lookupTime = 3_000;
/** How long the lookups are sent before the booking, in ms. */
const calmTime = 500;

const services = [
  ...configuration.Services,
  { Name: "desk", HealthPath: "/health", MaxConnections: 110 },
];
const routes = [
  { ...bookingRoute, TimeoutMs: timeLimit },
  { ...lookupRoute, TimeoutMs: timeLimit, Service: "desk" },
];

/** How a call ended, and how long its caller waited, in ms. */
type TimedEnd = CallEnd & { readonly waited: number };

async function timeCall(port: number, path: string): Promise<TimedEnd> {
  const sentAt = performance.now();
  const end = await sendCall({ port, path });
  return { ...end, waited: performance.now() - sentAt };
}

/** Answers every request with a head that no parser refuses, and a status that is no final one. */
function answerWith(status: string): Serve {
  return ({ requestId, message }) => {
    const fields = { ...sealHead(requestId), "content-length": "5" };
    const lines = Object.entries(fields).map(
      ([name, value]) => `${name}: ${value}`,
    );
    const head = [`HTTP/1.1 ${status} Trouble`, ...lines].join("\r\n");
    message.socket.write(`${head}\r\n\r\nsorry`);
  };
}

async function sendLookups(port: number): Promise<TimedEnd[]> {
  const lookups: Promise<TimedEnd>[] = [];
  const until = performance.now() + lookupTime;
  while (performance.now() < until) {
    lookups.push(timeCall(port, "/lookup/1"));
    await sleep(lookupInterval);
  }
  return Promise.all(lookups);
}

for (const status of ["000", "099", "101"]) {
  // Guards against an odd answer of one server that stops the process for seconds, so
  // that requests to all servers pass their time limit.
  test(`an answer with status ${status} of one server delays no request to another`, async (context) => {
    const installation = await Installation.open({
      ...configuration,
      Routes: routes,
      Services: services,
    });
    context.after(() => installation.close());
    await installation.addBackend({ service: "desk", serve: answerAfter(20) });
    await installation.addBackend({
      service: "booking",
      serve: answerWith(status),
    });
    const [machine] = await installation.addMachines(1);
    assert.ok(machine !== undefined, "no machine");

    const lookups = sendLookups(machine.front);
    await sleep(calmTime);
    const booking = await timeCall(machine.front, "/book/1");
    const ends = await lookups;

    assert.equal(booking.status, 502, booking.text);
    const allowed = timeLimit + slack;
    const late = [booking, ...ends].filter(({ waited }) => waited > allowed);
    const longest = Math.max(...[booking, ...ends].map(({ waited }) => waited));
    assert.deepEqual(late, [], `longest wait ${Math.round(longest)} ms`);
    const lost = ends.filter(
      ({ status, isWhole }) => status !== 200 || !isWhole,
    );
    assert.deepEqual(lost, [], `${lost.length} of ${ends.length} lookups lost`);
    context.diagnostic(`longest wait ${Math.round(longest)} ms`);
  });
}
