import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { HttpServerLinks } from "../../platform/server_links.ts";
import { changesServer, decodeServer } from "../../platform/server_rows.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { silentMeter } from "../../src/ports/journal.ts";
import { registration } from "./fake_store.ts";
import { oddServers } from "./odd_entries.ts";

const seed = 30;

const links = HttpServerLinks.create({
  clock: RealClock.create(),
  meter: silentMeter,
});

function encode(text: string): Uint8Array {
  return new TextEncoder().encode(text);
}

// Guards against an odd entry that passes for a server: the first request to it
// ended the process.
test("no odd entry names a server, and each fault tells the field", () => {
  for (const { key, value } of oddServers) {
    const server = decodeServer(key, encode(value));
    server.caseOf({
      Left: ({ field, reason }) => {
        assert.equal(typeof field, "string");
        assert.ok(reason.length > 0 && reason.length < 200, reason);
      },
      Right: () => assert.fail(`${key}: ${value.slice(0, 300)} is a server`),
    });
  }
});

/** A registration some of whose fields hold other values. */
const arbitraryEntry = fc
  .tuple(
    fc.subarray(Object.keys(registration)),
    fc.array(
      fc.oneof(
        fc.jsonValue({ maxDepth: 4 }),
        fc.double(),
        fc.bigInt().map(String),
        fc.ipV4().chain((ip) => fc.nat(99_999).map((port) => `${ip}:${port}`)),
      ),
      { minLength: 10, maxLength: 10 },
    ),
  )
  .map(([fields, values]) => ({
    ...registration,
    ...Object.fromEntries(fields.map((field, at) => [field, values[at]])),
  }));

// Guards against decoded values out of range: whatever decodes can be connected
// to and counted with.
test("every entry that decodes can be used, whatever its fields hold", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.oneof(
        arbitraryEntry.map((entry) => JSON.stringify(entry)),
        fc.json(),
        fc.string({ unit: "binary" }),
      ),
      fc.string(),
      async (text, key) => {
        const row = { key, rowVersion: 2, value: encode(text) };
        const good = encode(JSON.stringify(registration));
        assert.equal(
          typeof changesServer({ ...row, value: good }, row),
          "boolean",
        );
        const server = decodeServer(key, row.value).toMaybe().extractNullable();
        if (server === null) return;
        assert.ok(server.slots >= 1 && server.slots <= 65_536);
        assert.ok(Number.isSafeInteger(server.orderCount));
        assert.ok(Number.isSafeInteger(server.born ?? 0));
        await links.endpointOf(server).close();
        links.disconnect(server.id);
      },
    ),
    { seed, numRuns: 2_000 },
  );
});
