import { setTimeout as sleep } from "node:timers/promises";
import { type CallEnd, sendCall } from "./caller.ts";
import type { Machine } from "./machine.ts";

/** Interval at which due requests are sent, and at which a machine is asked again, in ms. */
const sendInterval = 5;
const askInterval = 50;
/** How long the caller of a probe waits, in ms. */
const probeDeadline = 3_000;

/** Calls `send` so many times a second until it returns false. */
export async function sendAtRate(
  rate: number,
  send: () => boolean,
): Promise<void> {
  const startedAt = performance.now();
  let sent = 0;
  for (;;) {
    while (sent < ((performance.now() - startedAt) * rate) / 1_000) {
      sent++;
      if (!send()) return;
    }
    await sleep(sendInterval);
  }
}

/** Whether each machine serves a request within a time in ms; each is asked at least once. */
export async function waitUntilServing(
  machines: readonly Machine[],
  allowed: number,
  headers: Readonly<Record<string, string>> = {},
): Promise<boolean> {
  const until = performance.now() + allowed;
  for (const machine of machines) {
    for (;;) {
      if ((await probe(machine, headers)).status === 200) break;
      if (performance.now() >= until) return false;
      await sleep(askInterval);
    }
  }
  return true;
}

/** Machines that do not serve a request now, with their answers. */
export async function findNotServing(
  machines: readonly Machine[],
  headers: Readonly<Record<string, string>> = {},
): Promise<string[]> {
  const answers = await Promise.all(
    machines.map(async (machine) => {
      const { status, text } = await probe(machine, headers);
      if (status === 200) return [];
      return [`${machine.name}: ${status} ${text.trim()}`];
    }),
  );
  return answers.flat();
}

/** Sends one lookup to a machine. */
function probe(
  { front: port }: Machine,
  headers: Readonly<Record<string, string>>,
): Promise<CallEnd> {
  return sendCall({
    port,
    path: "/lookup/1",
    deadline: probeDeadline,
    headers,
  });
}
