import { randomBytes } from "node:crypto";
import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { setTimeout as wait } from "node:timers/promises";
import { defineCommand } from "citty";
import { sheetCodec } from "../../adapters/settings/sheet.ts";
import { diffSheet } from "../../core/config/sheet.ts";
import { brandNumber, type Revision } from "../../core/ids.ts";
import { exitWithMessage, exitWithRefusal, printLine } from "../exit.ts";
import {
  callAll,
  callFirstReachable,
  connectNodes,
  type NodeConnection,
  operatorArgs,
} from "../operator.ts";

/** Interval between polls of the revisions in force, in ms. */
const waitIntervalMillis = 200;
/** Timeout for a revision to be in force on all nodes, in ms. */
const maxWaitMillis = 60_000;

const fileArg = {
  file: {
    type: "positional",
    required: true,
    description: "Path of the sheet file (JSON)",
  },
} as const;

const checkSheet = defineCommand({
  meta: { name: "check", description: "Check a sheet without applying it" },
  args: fileArg,
  run({ args }) {
    const sheet = parseSheet(args.file);
    printLine(`${args.file}: ${sheet.adapters.length} adapters: ok`);
  },
});

const diff = defineCommand({
  meta: {
    name: "diff",
    description: "Show what a sheet would change in the revision in force",
  },
  args: { ...operatorArgs, ...fileArg },
  async run({ args }) {
    const sheet = parseSheet(args.file);
    const current = await callFirstReachable(connectNodes(args), (client) =>
      client.showSheet.query().catch(emptySheetIfNone),
    );
    const currentSheet = sheetCodec.parse(current.sheet).caseOf({
      Left: () => ({ adapters: [] }),
      Right: (value) => value,
    });
    const entries = new Map(
      currentSheet.adapters.map((entry) => [entry.name, entry]),
    );
    const { changed, removed } = diffSheet(entries, {
      base: brandNumber<Revision>(current.revision),
      sheet,
    });
    if (args.json) {
      printLine(JSON.stringify({ base: current.revision, changed, removed }));
      return;
    }
    printLine(`base revision ${current.revision}`);
    for (const { name, versions } of changed) {
      printLine(
        `${entries.has(name) ? "~" : "+"} ${name} ${versions.join(", ")}`,
      );
    }
    for (const name of removed) printLine(`- ${name}`);
  },
});

const apply = defineCommand({
  meta: {
    name: "apply",
    description:
      "Apply a sheet; refused if the base is not the newest revision",
  },
  args: {
    ...operatorArgs,
    ...fileArg,
    base: {
      type: "string",
      description:
        "Revision that the sheet is based on; by default the one in force",
    },
    attempt: {
      type: "string",
      description: "Token of an earlier attempt whose answer was lost",
    },
    wait: {
      type: "boolean",
      default: false,
      description: "Wait until the revision is in force on every given node",
    },
  },
  async run({ args }) {
    const sheet = sheetCodec.format(parseSheet(args.file));
    const nodes = connectNodes(args);
    const attempt = args.attempt ?? randomBytes(8).toString("hex");
    const base =
      args.base === undefined ? await readRevision(nodes) : Number(args.base);
    process.stderr.write(`attempt ${attempt}, base revision ${base}\n`);
    const startedAt = Date.now();
    const applied = await callFirstReachable(nodes, (client) =>
      client.applySheet.mutate({
        base,
        sheet,
        attempt,
        operator: userInfo().username,
      }),
    );
    printLine(
      args.json
        ? JSON.stringify(applied)
        : `revision ${applied.revision} accepted, digest ${applied.digest}`,
    );
    if (args.wait) await waitUntilInForce(nodes, applied.revision, startedAt);
  },
});

const history = defineCommand({
  meta: { name: "history", description: "Show accepted revisions" },
  args: {
    ...operatorArgs,
    limit: {
      type: "string",
      default: "20",
      description: "Maximum number of revisions, newest first",
    },
  },
  async run({ args }) {
    const records = await callFirstReachable(connectNodes(args), (client) =>
      client.history.query({ limit: Number(args.limit) }),
    );
    if (args.json) return printLine(JSON.stringify(records));
    for (const record of records) {
      const time = new Date(record.acceptedAt).toISOString();
      printLine(
        `${record.revision} ${time} ${record.operator} ${record.adapters} adapters ${record.digest}`,
      );
    }
  },
});

const show = defineCommand({
  meta: { name: "show", description: "Print the sheet in force" },
  args: operatorArgs,
  async run({ args }) {
    const current = await callFirstReachable(connectNodes(args), (client) =>
      client.showSheet.query(),
    );
    printLine(JSON.stringify(current.sheet, null, 2));
  },
});

/** `goldcrestwinch sheet`: checks, compares, applies and shows the sheet exported by planners. */
export const sheetCommand = defineCommand({
  meta: { name: "sheet", description: "Check, apply and show morning sheets" },
  subCommands: { check: checkSheet, diff, apply, history, show },
});

function parseSheet(path: string) {
  let content: unknown;
  try {
    content = JSON.parse(readFileSync(path, "utf8"));
  } catch {
    return exitWithMessage(
      `Cannot read "${path}" as JSON; give the path of a sheet file`,
    );
  }
  return sheetCodec.parse(content).caseOf({
    Left: (refusal) => exitWithRefusal(refusal),
    Right: (sheet) => sheet,
  });
}

async function readRevision(nodes: readonly NodeConnection[]): Promise<number> {
  const status = await callFirstReachable(nodes, (client) =>
    client.status.query(),
  );
  return status.revision ?? 0;
}

function emptySheetIfNone(error: Error) {
  if (!error.message.includes("notReady")) throw error;
  return { revision: 0, sheet: { adapters: [] } };
}

/** Waits until all nodes have the revision in force; prints for each region how long that took. */
async function waitUntilInForce(
  nodes: readonly NodeConnection[],
  revision: number,
  startedAt: number,
): Promise<void> {
  const finishedRegions = new Set<string>();
  while (Date.now() - startedAt < maxWaitMillis) {
    const replies = await callAll(nodes, (client) => client.status.query());
    const pending = new Set<string>();
    const regions = new Set<string>();
    for (const reply of replies) {
      if ("error" in reply) {
        pending.add(reply.address);
        continue;
      }
      regions.add(reply.value.region);
      if ((reply.value.revision ?? 0) < revision) {
        pending.add(reply.value.region);
      }
    }
    for (const region of regions) {
      if (pending.has(region) || finishedRegions.has(region)) continue;
      finishedRegions.add(region);
      printLine(`${region}: in force after ${Date.now() - startedAt} ms`);
    }
    if (pending.size === 0) return;
    await wait(waitIntervalMillis);
  }
  exitWithMessage(
    `Revision ${revision} is accepted but not yet in force on every node; see the status command`,
  );
}
