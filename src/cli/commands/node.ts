import { defineCommand } from "citty";
import { readSettings } from "../../adapters/settings/settings.ts";
import { RealClock } from "../../adapters/time/real_clock.ts";
import { closeTimeout, Daemon } from "../../node/daemon.ts";
import { withTimeout } from "../../node/timeout.ts";
import { exitWithMessage, exitWithRefusal } from "../exit.ts";

/** `goldcrestwinch node`: runs the daemon until a signal stops it. */
export const nodeCommand = defineCommand({
  meta: { name: "node", description: "Run the daemon of an entry VM" },
  args: {
    config: {
      type: "string",
      required: true,
      description: "Path of the settings file",
    },
  },
  async run({ args }) {
    const settings = readSettings(args.config).caseOf({
      Left: (refusal) => exitWithRefusal(refusal),
      Right: (value) => value,
    });
    let daemon: Daemon | undefined;
    let isStopRequested = false;
    const drain = (): void => {
      isStopRequested = true;
      daemon?.drain();
    };
    process.on("SIGTERM", drain);
    process.on("SIGINT", drain);
    process.on("SIGHUP", () => daemon?.reloadKeys());
    daemon = await Daemon.start(settings).catch((error: Error) =>
      exitWithMessage(`Cannot start the node: ${error.message}`),
    );
    if (isStopRequested) daemon.drain();
    const isComplete = await daemon.stopped;
    await withTimeout(RealClock.create(), daemon.stop(), {
      timeout: closeTimeout,
      fallback: undefined,
    });
    process.exit(isComplete ? 0 : 1);
  },
});
