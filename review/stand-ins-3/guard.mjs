// Ends the processes of a script if the script itself is killed.
const pids = new Set();
process.on("message", ({ started, ended }) => {
  if (started !== undefined) pids.add(started);
  if (ended !== undefined) pids.delete(ended);
});
process.on("disconnect", () => {
  for (const pid of pids) {
    try {
      process.kill(pid, "SIGKILL");
    } catch {
      // It has ended already.
    }
  }
  process.exit();
});
