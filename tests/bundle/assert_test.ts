import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { build } from "esbuild";
import { bundleOptions } from "../../scripts/bundle_options.ts";

/** What a failed assertion of a library throws in a bundle. */
type Thrown = { readonly name: string; readonly message: string };

/** Statements of a library, and the message of the error that each throws. */
const assertions: Record<string, RegExp> = {
  "assert(1 === 2)": /^An assertion of a library failed$/,
  "assert.ok(undefined)": /^An assertion of a library failed$/,
  'assert(0, "the reason")': /^the reason$/,
  "assert.equal(1, 2)": /1 == 2/,
};

/** Bundles a library that runs one statement, and returns what it throws. */
async function runInBundle(name: string, statement: string): Promise<Thrown> {
  const folder = mkdtempSync(join(tmpdir(), "bundle-"));
  const [source, outfile] = [join(folder, "in.cjs"), join(folder, "out.cjs")];
  writeFileSync(
    source,
    `const assert = require(${JSON.stringify(name)});
    try { ${statement}; } catch (error) { module.exports = error; }`,
  );
  try {
    await build({ ...bundleOptions, entryPoints: [source], outfile });
    return createRequire(import.meta.url)(outfile) as Thrown;
  } finally {
    rmSync(folder, { recursive: true });
  }
}

// Guards against assertions whose message Node takes from the source of the bundle,
// and against libraries that miss a part of the module.
for (const name of ["assert", "node:assert"]) {
  for (const [statement, message] of Object.entries(assertions)) {
    test(`${statement} of ${name} in a bundle throws its message without the source`, async () => {
      const thrown = await runInBundle(name, statement);
      assert.equal(thrown.name, "AssertionError");
      assert.match(thrown.message, message);
    });
  }
}
