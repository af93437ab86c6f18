import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import { test } from "node:test";

/** Packages and layers that each layer may import; layers not listed are unrestricted. */
const allowedImports: Record<string, { layers: string[]; packages: string[] }> =
  {
    core: { layers: ["core"], packages: ["xstate", "purify-ts", "pure-rand"] },
    ports: { layers: ["core", "ports"], packages: ["purify-ts"] },
  };

function listSources(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts"))
    .map((name) => join(folder, name));
}

function readImports(file: string): string[] {
  const source = readFileSync(file, "utf8");
  return [...source.matchAll(/(?:from|import)\s+"([^"]+)"/g)].map(
    (match) => match[1] as string,
  );
}

/** Describes how an import violates the layer rule; undefined if it does not. */
function findViolation(file: string, specifier: string): string | undefined {
  const layer = file.split("/")[1] as string;
  const rule = allowedImports[layer];
  if (rule === undefined) return undefined;
  if (!specifier.startsWith(".")) {
    const name = specifier.split("/")[0] as string;
    return rule.packages.includes(name)
      ? undefined
      : `${file} imports ${specifier}`;
  }
  const target = normalize(join(dirname(file), specifier)).split("/")[1];
  return rule.layers.includes(target as string)
    ? undefined
    : `${file} imports ${specifier}`;
}

test("core and ports import no adapter, network, codec or log library", () => {
  const violations = listSources("src").flatMap((file) =>
    readImports(file)
      .map((specifier) => findViolation(file, specifier))
      .filter((violation) => violation !== undefined),
  );
  assert.deepEqual(violations, []);
});

/** Names of the users' platform that may only occur in its adapter. */
const platformNames =
  /Goldcrestwinch-|RowVersion|rows-(tx|get|feed)|AdapterSlots|ColdRemainingMs|TableName/;

test("src/ neither contains names of the platform nor imports from platform/", () => {
  const found = listSources("src").filter((file) => {
    const imports = readImports(file).map((specifier) =>
      normalize(join(dirname(file), specifier)),
    );
    return (
      platformNames.test(readFileSync(file, "utf8")) ||
      imports.some((target) => target.startsWith("platform/"))
    );
  });
  assert.deepEqual(found, []);
});

test("platform/ stays below an eighth of src/", () => {
  const countLines = (folder: string) =>
    listSources(folder)
      .map((file) => readFileSync(file, "utf8").split("\n").length)
      .reduce((sum, lines) => sum + lines, 0);
  assert.ok(countLines("platform") < countLines("src") / 8);
});
