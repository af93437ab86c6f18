import { defineCommand } from "citty";
import { readKeyFile } from "../../adapters/keys/keyring.ts";
import { readOrganisationFile } from "../../adapters/keys/organisation_file.ts";
import { readSettings } from "../../adapters/settings/settings.ts";
import { exitWithMessage, exitWithRefusal, printLine } from "../exit.ts";

/** `goldcrestwinch check`: validates a settings file and its files of keys without starting a node. */
export const checkCommand = defineCommand({
  meta: {
    name: "check",
    description:
      "Check a settings file, its key file and its organisation file (not a sheet)",
  },
  args: {
    config: {
      type: "string",
      required: true,
      description: "Path of the settings file",
    },
  },
  run({ args }) {
    const settings = readSettings(args.config).caseOf({
      Left: (refusal) => exitWithRefusal(refusal),
      Right: (value) => value,
    });
    readKeyFile(settings.keyFile).ifLeft((error) => exitWithMessage(error));
    if (settings.organisationFile !== undefined)
      readOrganisationFile(settings.organisationFile).ifLeft((error) =>
        exitWithMessage(error),
      );
    printLine(
      `${args.config}: node ${settings.node.name} in ${settings.node.region}, ${settings.engines.length} engines, ${settings.services.length} services: ok`,
    );
  },
});
