/** Runs stand-ins for the platform and the back ends of a settings file. */
import { readSettings } from "../adapters/settings/settings.ts";
import { RealClock } from "../adapters/time/real_clock.ts";
import { startSite } from "../standins/site.ts";
import { exitWithRefusal, printLine } from "./exit.ts";

const path = process.argv[2] ?? "config/tatry-1.json";
const settings = readSettings(path).caseOf({
  Left: (refusal) => exitWithRefusal(refusal),
  Right: (value) => value,
});
const readPort = (url: string) => Number(new URL(url).port);
await startSite(
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
  RealClock.create(),
);
printLine(`stand-ins for ${path} are running; stop them with Ctrl-C`);
