import type { AddressInfo, Server } from "node:net";
import type { Clock } from "../../core/clock.ts";
import type { Journal, Meter } from "../../ports/journal.ts";

/** Number of new connections that the system keeps until they are accepted. */
const backlog = 1_024;
/** Interval at which failures to accept connections are logged, in ms; each is counted. */
const reportInterval = 1_000;

/** Listens on `IP:PORT` and resolves to the port; port 0 selects a free one. May be called again after a failure. */
export function listenOn(server: Server, address: string): Promise<number> {
  const colon = address.lastIndexOf(":");
  const port = Number(address.slice(colon + 1));
  const host = address.slice(0, colon);
  return new Promise((resolve, reject) => {
    const fail = (error: Error): void => {
      server.off("listening", succeed);
      reject(error);
    };
    const succeed = (): void => {
      server.off("error", fail);
      resolve((server.address() as AddressInfo).port);
    };
    server.once("error", fail);
    server.once("listening", succeed);
    server.listen({ host, port, backlog });
  });
}

/**
 * Reports the errors of a listening server, such as a connection that cannot be
 * accepted for want of memory; the server goes on. Without a listener for them
 * they would end the process.
 */
export function reportAcceptFailures(
  server: Server,
  options: { name: string; clock: Clock; journal: Journal; meter: Meter },
): void {
  const { name, clock, journal, meter } = options;
  let reportAt = Number.NEGATIVE_INFINITY;
  server.on("error", (error) => {
    if (!server.listening) return;
    meter.count("accept_failures_total", { listener: name });
    if (clock.now() < reportAt) return;
    reportAt = clock.now() + reportInterval;
    journal.record("acceptFailed", { listener: name, detail: error.message });
  });
}
