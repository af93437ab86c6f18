import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  applyServerChange,
  type BackendServer,
  createServerDirectory,
  listUsableServers,
  maxRemembered,
  recordLeaving,
} from "../../src/core/gateway/servers.ts";
import { brandString } from "../../src/core/ids.ts";
import { booking, createServer } from "./gateway_values.ts";

const now = millis(10_000);

function startDirectory(...servers: BackendServer[]) {
  const directory = createServerDirectory();
  for (const server of servers)
    applyServerChange(directory, { type: "present", server }, now);
  return directory;
}

// Requests reached a server that had reported that it leaves, after an older
// copy of its entry listed it as ready.
test("an incarnation that was leaving is not used again, its successor is", () => {
  const ready = createServer({ born: 5 });
  const directory = startDirectory(ready, { ...ready, leaving: true }, ready);
  assert.deepEqual(listUsableServers(directory, booking), []);
  const successor = { ...ready, born: 6 };
  applyServerChange(directory, { type: "present", server: successor }, now);
  assert.deepEqual(listUsableServers(directory, booking), [successor]);
});

test("a server can be known as leaving before its entry says so", () => {
  const ready = createServer({ born: 5 });
  const directory = startDirectory(ready);
  assert.equal(recordLeaving(directory, { id: ready.id, born: 4 }), false);
  assert.equal(listUsableServers(directory, booking).length, 1);
  assert.equal(recordLeaving(directory, ready), true);
  assert.equal(recordLeaving(directory, ready), false);
  applyServerChange(directory, { type: "present", server: ready }, now);
  assert.deepEqual(listUsableServers(directory, booking), []);
});

test("the number of remembered incarnations is limited, the oldest are dropped", () => {
  const directory = createServerDirectory();
  for (let i = 0; i <= maxRemembered; i++)
    recordLeaving(directory, { id: brandString(`s${i}`), born: 1 });
  assert.equal(directory.leaving.size, maxRemembered);
  assert.equal(directory.leaving.has("s0/1"), false);
});
