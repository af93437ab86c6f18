/**
 * Runs stand-ins for the platform and the back ends of a settings file:
 * `npm run standins -- [SETTINGS] [--pause-share 0.3] [--leaving-share 0.1]
 * [--pause-ms 1000] [--period-ms 5000] [--seed 1]`.
 */
import { parseArgs } from "node:util";
import { createSeededRandom } from "../adapters/random/seeded_random.ts";
import { readSettings } from "../adapters/settings/settings.ts";
import { RealClock } from "../adapters/time/real_clock.ts";
import { millis } from "../core/clock.ts";
import { scheduleNotices } from "../standins/notice_schedule.ts";
import { startSite } from "../standins/site.ts";
import { exitWithRefusal, printLine } from "./exit.ts";

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    "pause-share": { type: "string", default: "0" },
    "leaving-share": { type: "string", default: "0" },
    "pause-ms": { type: "string", default: "1000" },
    "period-ms": { type: "string", default: "5000" },
    seed: { type: "string", default: "1" },
  },
});
const path = positionals[0] ?? "config/tatry-1.json";
const clock = RealClock.create();
const settings = readSettings(path).caseOf({
  Left: (refusal) => exitWithRefusal(refusal),
  Right: (value) => value,
});
const readPort = (url: string) => Number(new URL(url).port);
const site = await startSite(
  {
    platform: readPort(settings.platform.table),
    engines: settings.engines.map(({ id, url, slots, batch, fencing }) => ({
      id,
      slots,
      batch,
      fencing,
      port: readPort(url),
    })),
    services: settings.services.flatMap(({ servers }) =>
      servers.map(({ id, url }) => ({ id, port: readPort(url) })),
    ),
  },
  clock,
);
scheduleNotices(
  [...site.services.values()],
  {
    pauseShare: Number(values["pause-share"]),
    leavingShare: Number(values["leaving-share"]),
    pauseLength: millis(Number(values["pause-ms"])),
    period: millis(Number(values["period-ms"])),
    random: createSeededRandom(Number(values.seed)),
  },
  clock,
);
printLine(`stand-ins for ${path} are running; stop them with Ctrl-C`);
