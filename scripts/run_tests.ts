/** Runs every test file whose path contains the argument; failures listed in KNOWN-RED.txt are printed but not counted. */
import { once } from "node:events";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const testTimeoutMs = 120_000;
const knownFailuresFile = "KNOWN-RED.txt";
/** Ending of the files that run one at a time after all others: they measure a whole process. */
const aloneEnding = "_alone_test.ts";
/** Number of files that run at once. */
const concurrency = 4;

function listTestFiles(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true })
    .flatMap((entry) => {
      const path = join(folder, entry.name);
      if (entry.isDirectory()) return listTestFiles(path);
      return entry.name.endsWith("_test.ts") ? [path] : [];
    })
    .sort();
}

/** Names of the tests listed as failing, from the lines `test: NAME`. */
function readKnownFailures(): Set<string> {
  if (!existsSync(knownFailuresFile)) return new Set();
  const lines = readFileSync(knownFailuresFile, "utf8").split("\n");
  return new Set(
    lines
      .filter((line) => line.startsWith("test: "))
      .map((line) => line.slice("test: ".length).trim()),
  );
}

const expectedFailures = readKnownFailures();
const filter = process.argv[2] ?? "";
const files = listTestFiles("tests").filter((file) => file.includes(filter));
const knownFailures: string[] = [];
let failed = 0;
let passed = 0;

/** Runs files and counts their results; resolves when all have ended. */
async function runFiles(files: string[], concurrency: number): Promise<void> {
  if (files.length === 0) return;
  const stream = run({ files, concurrency, timeout: testTimeoutMs });
  stream.on("test:fail", (event) => {
    if (event.details.type === "suite") return;
    if (expectedFailures.has(event.name)) knownFailures.push(event.name);
    else failed++;
  });
  stream.on("test:pass", (event) => {
    if (event.details.type !== "suite") passed++;
  });
  const report = stream.compose(new spec());
  report.pipe(process.stdout, { end: false });
  await once(report, "end");
}

const isAlone = (file: string) => file.endsWith(aloneEnding);
await runFiles(
  files.filter((file) => !isAlone(file)),
  concurrency,
);
await runFiles(files.filter(isAlone), 1);
for (const name of knownFailures) console.log(`known red: ${name}`);
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
