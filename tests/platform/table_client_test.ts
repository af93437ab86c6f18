import assert from "node:assert/strict";
import { type TestContext, test } from "node:test";
import { MachinesClient } from "../../src/adapters/platform/machines_client.ts";
import { ObjectClient } from "../../src/adapters/platform/object_client.ts";
import { TableClient } from "../../src/adapters/platform/table_client.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis, sleep } from "../../src/core/clock.ts";
import type { Machine } from "../../src/ports/machines.ts";
import type { TableService } from "../../src/ports/table.ts";
import {
  MemoryMachineList,
  MemoryObjectStore,
} from "../../src/standins/memory_platform.ts";
import { MemoryTable } from "../../src/standins/memory_table.ts";
import { createPlatformServer } from "../../src/standins/platform_server.ts";
import { key, write } from "./rows.ts";

const clock = RealClock.create();

async function setUp(context: TestContext) {
  const table = MemoryTable.create(clock);
  const objects = new MemoryObjectStore();
  const machines = MemoryMachineList.create(clock);
  const host = await createPlatformServer({ table, objects, machines });
  const options = { origin: host.origin, clock, timeout: millis(300) };
  const client = TableClient.create(options);
  const objectClient = ObjectClient.create(options);
  const machinesClient = MachinesClient.create(options);
  context.after(async () => {
    for (const resource of [client, objectClient, machinesClient, host]) {
      await resource.close();
    }
  });
  return {
    table,
    objects,
    machines,
    host,
    client,
    objectClient,
    machinesClient,
  };
}

/** Checks the life cycle of a row; the behaviour must be the same in memory and over HTTP. */
async function checkRows(table: TableService) {
  const created = await table.transact(write("a/1", { x: [1] }, "absent"));
  assert.equal(created.unsafeCoerce().kind, "committed");
  await table.transact(write("a/1", undefined, 1));
  await table.transact(write("a/1", "again", "absent"));
  await table.transact(write("b/1", null));
  const row = (await table.read(key("a/1"))).unsafeCoerce();
  assert.deepEqual([row?.version, row?.value], [3, "again"]);
  assert.equal((await table.read(key("none"))).unsafeCoerce(), undefined);
  const conflict = (
    await table.transact({
      ...write("a/2", 1, "absent"),
      conditions: [
        { key: key("a/1"), version: 1 },
        { key: key("a/9"), version: 4 },
        { key: key("a/2"), version: "absent" },
      ],
    })
  ).unsafeCoerce();
  assert.equal(conflict.kind, "conflict");
  const current = conflict.kind === "conflict" ? conflict.current : new Map();
  assert.deepEqual([...current.keys()], ["a/1", "a/9"]);
  assert.equal(current.get(key("a/1"))?.version, 3);
  assert.equal(current.get(key("a/9")), undefined);
  const rows = (await table.scan("a/")).unsafeCoerce();
  assert.deepEqual(
    rows.map((found) => found.key),
    ["a/1"],
  );
}

test("versions are never reused and a failed transaction writes nothing, in memory", async () => {
  await checkRows(MemoryTable.create(clock));
});

test("versions are never reused and a failed transaction writes nothing, over HTTP", async (context) => {
  await checkRows((await setUp(context)).client);
});

test("a write whose answer is lost is unknown, and a later read shows whether it was applied", async (context) => {
  const { table, client } = await setUp(context);
  table.lostAnswers = 1;
  const applied = await client.transact(write("a", 1));
  table.lostRequests = 1;
  const lost = await client.transact(write("b", 1));
  assert.equal(applied.swap().unsafeCoerce().kind, "unknown");
  assert.equal(lost.swap().unsafeCoerce().kind, "unknown");
  const row = (await client.read(key("a"))).unsafeCoerce();
  assert.equal(row?.attempt, write("a", 1).attempt);
  assert.equal((await client.read(key("b"))).unsafeCoerce(), undefined);
});

test("a write that runs into its deadline is unknown, a read is unavailable", async (context) => {
  const { table, client } = await setUp(context);
  table.delay = 600;
  const [written, read] = await Promise.all([
    client.transact(write("a", 1)),
    client.read(key("a")),
  ]);
  assert.equal(written.swap().unsafeCoerce().kind, "unknown");
  assert.equal(read.swap().unsafeCoerce().kind, "unavailable");
});

test("a refused write and one that could not be sent are known not to be applied", async (context) => {
  const { table, host, client } = await setUp(context);
  table.outage = true;
  const refused = await client.transact(write("a", 1));
  assert.equal(refused.swap().unsafeCoerce().kind, "unavailable");
  table.outage = false;
  table.limits.writes = 0;
  const limited = await client.transact(write("a", 1));
  assert.equal(limited.swap().unsafeCoerce().kind, "unavailable");
  await host.close();
  await sleep(clock, millis(50));
  const unsent = await client.transact(write("a", 1));
  assert.equal(unsent.swap().unsafeCoerce().kind, "unavailable");
});

test("objects come back byte for byte, and a missing one differs from an outage", async (context) => {
  const { objects, objectClient } = await setUp(context);
  const content = Buffer.from([0, 255, 10, 13]);
  assert.ok((await objectClient.put("config/7 a", content)).isRight());
  const found = (await objectClient.get("config/7 a")).unsafeCoerce();
  assert.deepEqual(Buffer.from(found), content);
  const missing = await objectClient.get("config/8");
  assert.equal(missing.swap().unsafeCoerce().kind, "missing");
  objects.outage = true;
  const outage = await objectClient.get("config/7 a");
  assert.equal(outage.swap().unsafeCoerce().kind, "unavailable");
});

test("the list of machines shows a change only after its lag", async (context) => {
  const virtual = VirtualClock.create();
  const list = MemoryMachineList.create(virtual, { lag: 5000 });
  const live: Machine = {
    name: "engine-1",
    role: "engine",
    address: "127.0.0.1:1",
    state: "live",
  };
  list.set([live]);
  await virtual.advance(millis(9000));
  list.set([{ ...live, state: "leaving" }]);
  const state = async () => (await list.list()).unsafeCoerce()[0]?.state;
  await virtual.advance(millis(4999));
  assert.equal(await state(), "live");
  await virtual.advance(millis(1));
  assert.equal(await state(), "leaving");
  const { machines, machinesClient } = await setUp(context);
  machines.set([live]);
  assert.deepEqual((await machinesClient.list()).unsafeCoerce(), [live]);
});
