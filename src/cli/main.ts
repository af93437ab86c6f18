import { defineCommand, runMain } from "citty";
import { checkCommand } from "./commands/check.ts";
import { drainCommand } from "./commands/drain.ts";
import { explainCommand } from "./commands/explain.ts";
import { nodeCommand } from "./commands/node.ts";
import { routeCommand } from "./commands/route.ts";
import { sheetCommand } from "./commands/sheet.ts";
import { statusCommand } from "./commands/status.ts";
import { timelineCommand } from "./commands/timeline.ts";
import { version } from "./version.ts";

const main = defineCommand({
  meta: {
    name: "goldcrestwinch",
    version,
    description: "Serving layer for very many LoRA adapters",
  },
  subCommands: {
    node: nodeCommand,
    check: checkCommand,
    sheet: sheetCommand,
    status: statusCommand,
    timeline: timelineCommand,
    explain: explainCommand,
    route: routeCommand,
    drain: drainCommand,
  },
});

void runMain(main);
