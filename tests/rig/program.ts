import { execFileSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, symlinkSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import {
  buildPlatformBundle,
  platformBundle,
} from "../../scripts/platform_bundle.ts";

/** Command that starts a process. */
export type Command = {
  readonly program: string;
  readonly args: readonly string[];
};

let command: Promise<Command> | undefined;

/** Bundles the program once for this test process; returns the command of the deploy file for it. */
export function prepareProgram(): Promise<Command> {
  command ??= bundleProgram();
  return command;
}

/** Bundles the program of an earlier revision from the repository's history. */
export function prepareEarlierProgram(revision: string): Command {
  const folder = createFolder();
  const tree = join(folder, "tree.tar");
  execFileSync("git", ["archive", "--output", tree, revision]);
  execFileSync("tar", ["-xf", tree, "-C", folder]);
  symlinkSync(resolve("node_modules"), join(folder, "node_modules"));
  execFileSync("npm", ["run", "--silent", "build:platform"], { cwd: folder });
  return createCommand(folder, join(folder, platformBundle));
}

async function bundleProgram(): Promise<Command> {
  const bundle = join(createFolder(), "gateway.cjs");
  await buildPlatformBundle(bundle);
  return createCommand(".", bundle);
}

/** Creates a folder that is removed at the end of this process. */
function createFolder(): string {
  const folder = mkdtempSync(join(tmpdir(), "gateway-bundle-"));
  process.once("exit", () => rmSync(folder, { recursive: true, force: true }));
  return folder;
}

/** The run command of the deploy file in a tree, with another place of its bundle. */
function createCommand(tree: string, bundle: string): Command {
  const args = readRunCommand(tree)
    .slice(1)
    .map((word) => (word === platformBundle ? bundle : word));
  return { program: process.execPath, args };
}

/** Words of the run command in the deploy file of a tree. */
function readRunCommand(tree: string): string[] {
  const text = readFileSync(join(tree, "deploy/system.toml"), "utf8");
  const run = /^run = "([^"]*)"$/m.exec(text)?.[1];
  if (run === undefined)
    throw new Error("deploy/system.toml has no run command");
  return run.split(" ");
}
