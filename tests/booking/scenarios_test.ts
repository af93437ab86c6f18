import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { runScenario } from "../../src/fuzz/scenario.ts";

// Each scenario guards against the failure named in its first line.
for (const file of readdirSync("scenarios").sort()) {
  test(`scenario ${file}`, async () => {
    await runScenario(readFileSync(join("scenarios", file), "utf8"));
  });
}
