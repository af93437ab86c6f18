/** Runs an installation with stand-in back ends on loopback and reports the results that callers received. */
import { RealClock } from "../adapters/time/real_clock.ts";
import {
  type Installation,
  startInstallation,
  stopInstallation,
} from "../demo/installation.ts";
import { formatDemo, hasDemoPassed, summarizeDemo } from "../demo/report.ts";
import { listDemoAdapters, runDemo } from "../demo/run.ts";
import { formatTimelineEntry, mergeTimelines } from "./commands/timeline.ts";
import { failureStatus, printLine } from "./exit.ts";

/** Number of timeline events to print. */
const printedEvents = 40;
const debugLevelEvents = new Set(["requestDispatched", "requestAdmitted"]);

const clock = RealClock.create();
const installation = await startInstallation(clock);
const result = await runDemo(installation, clock);
const summary = summarizeDemo(result, installation.site);
printTimeline(installation);
for (const line of formatDemo(result, summary)) printLine(line);
if (!hasDemoPassed(summary)) process.exitCode = failureStatus;
if (process.argv.includes("--keep")) printAddresses(installation);
else {
  await stopInstallation(installation);
  process.exit();
}

function printTimeline({ daemons }: Installation): void {
  const entries = mergeTimelines(
    daemons.map((daemon) => daemon.timeline.read()),
  ).filter(({ event }) => !debugLevelEvents.has(event));
  printLine(`timeline: the last ${printedEvents} of ${entries.length} events`);
  for (const entry of entries.slice(-printedEvents)) {
    printLine(formatTimelineEntry(entry));
  }
}

function printAddresses({ daemons, keyFile }: Installation): void {
  const [first] = daemons.filter((daemon) => daemon.ready);
  const adapter = listDemoAdapters()[0];
  const origin = `http://${first?.callers}`;
  printLine("nodes keep running; stop them with Ctrl-C");
  for (const daemon of daemons) {
    printLine(
      `${daemon.nodeId} callers ${daemon.callers} peers ${daemon.peers}`,
    );
  }
  printLine(`key file ${keyFile}`);
  printLine(
    `curl -N ${origin}/v1/completions -d '{"model":"${adapter}","prompt":"Hello","max_tokens":8,"stream":true}'`,
  );
  printLine(
    `curl ${origin}/services/chains/reservations -H 'idempotency-key: k1' -d '{"set":"9 mm"}'`,
  );
  printLine(`curl ${origin}/services/chains/stock?depot=7`);
  printLine(`curl ${origin}/v1/models`);
}
