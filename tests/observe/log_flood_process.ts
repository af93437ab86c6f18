import { monitorEventLoopDelay } from "node:perf_hooks";
import { createOutputLogger } from "../../src/adapters/observe/log.ts";
import { brandString } from "../../src/core/ids.ts";

/** Lines per turn of the event loop, and time for which they are written, in ms. */
const linesPerTurn = 200;
const duration = 1_500;

// Writes far more than a pipe holds and reports the cost of the writes on standard error.
const logger = createOutputLogger({ node: brandString("n1"), level: "info" });
const delays = monitorEventLoopDelay({ resolution: 5 });
const startedAt = performance.now();
let lines = 0;

function writeLines(): void {
  if (performance.now() > startedAt + duration) {
    const longestPause = delays.max / 1e6;
    const memory = process.memoryUsage().rss / 2 ** 20;
    process.stderr.write(JSON.stringify({ lines, longestPause, memory }));
    process.exit(0);
  }
  for (let line = 0; line < linesPerTurn; line++) {
    logger.info({ requestId: `r${line}`, detail: "x".repeat(200) }, "line");
  }
  lines += linesPerTurn;
  setTimeout(writeLines, 5);
}

// The start of the process is not part of the measurement.
setTimeout(() => {
  delays.enable();
  writeLines();
}, 200);
