import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import {
  mkdtempSync,
  readFileSync,
  rmSync,
  utimesSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type TestContext, test } from "node:test";
import { digestKey } from "../../src/adapters/keys/api_key.ts";
import {
  OrganisationFile,
  readOrganisationFile,
} from "../../src/adapters/keys/organisation_file.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";

const digest = digestKey("key-1");

function createFolder(context: TestContext): string {
  const folder = mkdtempSync(join(tmpdir(), "organisations-"));
  context.after(() => rmSync(folder, { recursive: true }));
  return folder;
}

/** Writes a file with these organisations, modified at a time in s. */
function write(path: string, organisations: unknown, modifiedAt = 1): void {
  writeFileSync(path, JSON.stringify({ organisations }));
  utimesSync(path, modifiedAt, modifiedAt);
}

test("an organisation is found by the digest of its key", (context) => {
  const path = join(createFolder(context), "organisations.json");
  write(path, [{ name: "north", keyDigests: [digest] }]);
  const { byKey } = readOrganisationFile(path).unsafeCoerce();
  assert.equal(byKey.get(digest)?.name, "north");
});

// Guards against a key in place of its digest, and against a key of two organisations.
test("an entry that cannot be used is refused with its field and a remedy", (context) => {
  const path = join(createFolder(context), "organisations.json");
  const cases: readonly [unknown, RegExp][] = [
    [[], /organisations: must list at least one/],
    [undefined, /organisations: .*; correct the value/],
    [[{ name: "a b", keyDigests: [] }], /organisations\.0\.name: must be/],
    [
      [{ name: "a", keyDigests: ["key-1"] }],
      /organisations\.0\.keyDigests\.0: must be the SHA-256 digest/,
    ],
    [
      [
        { name: "a", keyDigests: [digest] },
        { name: "b", keyDigests: [digest] },
      ],
      /organisations\.1\.keyDigests\.0: is a key of a as well; remove it/,
    ],
    [
      [
        { name: "a", keyDigests: [] },
        { name: "a", keyDigests: [] },
      ],
      /organisations\.1\.name: names an organisation a second time; merge/,
    ],
  ];
  for (const [content, expected] of cases) {
    write(path, content);
    const error = readOrganisationFile(path).swap().unsafeCoerce();
    assert.match(error, expected);
    assert.doesNotMatch(error, /key-1/);
  }
});

// Guards against a faulty edit that turns every caller away, or lets every one in.
test("a changed file is read again, and a faulty one changes nothing", async (context) => {
  const path = join(createFolder(context), "organisations.json");
  const clock = VirtualClock.create();
  const reloads: (string | undefined)[] = [];
  write(path, [{ name: "north", keyDigests: [digest] }]);
  const file = OrganisationFile.open(path, {
    clock,
    onReload: (error) => reloads.push(error),
  }).unsafeCoerce();
  context.after(() => file.close());
  await clock.advance(millis(5_000));
  assert.deepEqual(reloads, []);
  write(path, [{ name: "", keyDigests: [] }], 2);
  await clock.advance(millis(2_000));
  assert.match(reloads[0] ?? "", /organisations\.0\.name/);
  assert.ok(file.directory.byKey.has(digest));
  write(path, [{ name: "north", keyDigests: [] }], 3);
  await clock.advance(millis(2_000));
  assert.equal(reloads[1], undefined);
  assert.equal(reloads.length, 2);
  assert.ok(!file.directory.byKey.has(digest));
});

test("the check of settings names a faulty entry of the organisation file", (context) => {
  const folder = createFolder(context);
  const example = JSON.parse(readFileSync("config/tatry-1.json", "utf8"));
  const keys = { keys: [{ id: "k1", secret: "0123456789abcdef" }] };
  writeFileSync(join(folder, "keys.json"), JSON.stringify(keys));
  const settings = join(folder, "settings.json");
  const paths = {
    keyFile: "keys.json",
    organisationFile: "organisations.json",
  };
  writeFileSync(settings, JSON.stringify({ ...example, ...paths }));
  const check = () =>
    spawnSync(
      process.execPath,
      ["--import", "tsx", "src/cli/main.ts", "check", "--config", settings],
      { encoding: "utf8" },
    );
  const path = join(folder, "organisations.json");
  write(path, [{ name: "north", keyDigests: [digest] }]);
  assert.equal(check().status, 0);
  write(path, [{ name: "north", keyDigests: [digest, "x"] }]);
  const { status, stdout, stderr } = check();
  assert.notEqual(status, 0);
  assert.match(stdout + stderr, /organisations\.0\.keyDigests\.1/);
});
