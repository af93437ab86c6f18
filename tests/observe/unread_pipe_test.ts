import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import type { Readable } from "node:stream";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";

/** Time for which the reader does not read the pipe, in s. */
const unreadFor = 60;
/** Longest pause that a busy machine may cause, in ms; a blocking write would last until the pipe is read. */
const longestPauseAllowed = 3_000;
/** Time for the process to start, write its lines and end, in ms. */
const reportAllowed = 30_000;
/** Memory of the process with a full buffer of lines, in MB. */
const memoryAllowed = 200;

// Guards against blocking log writes: an unread pipe is full after 64 KB, and a
// blocking write would then stop every request.
test("an unread log pipe blocks neither requests nor the exit of the process", async () => {
  // The shell makes a pipe; a child of Node gets a socket.
  const command = `("${process.execPath}" --import tsx tests/observe/log_flood_process.ts; echo "status $?" >&2) | sleep ${unreadFor}`;
  const child = spawn("sh", ["-c", command], {
    stdio: ["ignore", "ignore", "pipe"],
    detached: true,
  });
  try {
    const report = await readUntilStatus(child.stderr);
    assert.match(report, /status 0/);
    const { lines, longestPause, memory } = JSON.parse(
      report.slice(0, report.indexOf("}") + 1),
    );
    assert.ok(lines > 20_000, `only ${lines} lines were written`);
    assert.ok(longestPause < longestPauseAllowed, `paused ${longestPause} ms`);
    assert.ok(memory < memoryAllowed, `took ${memory} MB`);
  } finally {
    if (child.pid !== undefined) process.kill(-child.pid, "SIGKILL");
  }
});

/** Reads text up to the exit status, or what has arrived when the time allowed is over. */
async function readUntilStatus(stream: Readable): Promise<string> {
  let text = "";
  stream.on("data", (chunk) => {
    text += chunk;
  });
  const deadline = performance.now() + reportAllowed;
  while (!text.includes("status") && performance.now() < deadline) {
    await sleep(50);
  }
  return text;
}
