import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { brandString, type Digest } from "../../src/core/ids.ts";
import {
  emptyRecord,
  mergeRecords,
  parsePoisonRecord,
} from "../../src/core/poison/record.ts";
import {
  createPoisonState,
  decidePoison,
  type PoisonEvent,
  poisonLimit,
  refusePoison,
  statusOf,
} from "../../src/core/poison/registry.ts";
import { formatRequestDigest } from "../../src/core/poison/units.ts";

// Guards against content that crashes engines repeatedly, and against harmless
// content that stays suspect.

const digest = brandString<Digest>("d1");
const harmless = brandString<Digest>("d2");

function createNode() {
  let state = createPoisonState();
  return {
    get state() {
      return state;
    },
    send(event: PoisonEvent, at = 0) {
      const decision = decidePoison(state, event, millis(at));
      state = decision.state;
      return decision.commands;
    },
  };
}

test("content is refused as not run after its second crash, and is reported to the other nodes and the table", () => {
  const node = createNode();
  node.send({ type: "crashed", crash: "e1/boot1", digests: [digest] });
  assert.equal(statusOf(node.state, digest), "suspect");
  assert.equal(refusePoison(node.state, digest), undefined);
  const commands = node.send({
    type: "crashed",
    crash: "e2/boot1",
    digests: [digest],
  });
  const refusal = refusePoison(node.state, digest);
  assert.equal(refusal?.code, "poisonRequest");
  assert.equal(refusal?.outcome, "not-run");
  const types = commands.map((command) => command.type);
  assert.ok(types.includes("publish-record") && types.includes("write-row"));
});

test("a crash that is reported or received twice counts once", () => {
  const node = createNode();
  const crash = {
    type: "crashed",
    crash: "e1/boot1",
    digests: [digest],
  } as const;
  node.send(crash);
  assert.deepEqual(node.send(crash), []);
  const record = { crashes: ["e1/boot1"], cleared: [] };
  node.send({ type: "record-received", digest, record, from: "gossip" });
  assert.equal(statusOf(node.state, digest), "suspect");
});

test("a suspect that completes alone is cleared, and a late record of that crash does not restore it", () => {
  const node = createNode();
  const record = { crashes: ["e1/boot1"], cleared: [] };
  node.send({ type: "crashed", crash: "e1/boot1", digests: [harmless] });
  node.send({ type: "completed-alone", digest: harmless });
  assert.equal(statusOf(node.state, harmless), "unknown");
  node.send({
    type: "record-received",
    digest: harmless,
    record,
    from: "gossip",
  });
  assert.equal(statusOf(node.state, harmless), "unknown");
  node.send({ type: "crashed", crash: "e3/boot1", digests: [harmless] });
  assert.equal(statusOf(node.state, harmless), "suspect");
});

test("a convicted content stays convicted when one run completes", () => {
  const node = createNode();
  for (const crash of ["e1/b", "e2/b"])
    node.send({ type: "crashed", crash, digests: [digest] });
  node.send({ type: "completed-alone", digest });
  assert.equal(statusOf(node.state, digest), "convicted");
});

test("crashes seen by different nodes convict together", () => {
  const first = createNode();
  const second = createNode();
  first.send({ type: "crashed", crash: "e1/b", digests: [digest] });
  const [spread] = second.send({
    type: "crashed",
    crash: "e2/b",
    digests: [digest],
  });
  assert.ok(spread?.type === "publish-record");
  const { record } = spread;
  const commands = first.send({
    type: "record-received",
    digest,
    record,
    from: "gossip",
  });
  assert.equal(statusOf(first.state, digest), "convicted");
  assert.ok(commands.some((command) => command.type === "write-row"));
});

test("a node that reads a conviction from the table does not write it again", () => {
  const node = createNode();
  const record = { crashes: ["e1/b", "e2/b"], cleared: [] };
  const commands = node.send({
    type: "record-received",
    digest,
    record,
    from: "table",
  });
  assert.equal(statusOf(node.state, digest), "convicted");
  assert.ok(commands.every((command) => command.type !== "write-row"));
});

test("records merge to the same result in any order", () => {
  const records = [
    { crashes: ["a", "b"], cleared: [] },
    { crashes: ["c"], cleared: ["c"] },
    { crashes: ["b"], cleared: ["a"] },
  ];
  const forward = records.reduce(mergeRecords, emptyRecord);
  const backward = [...records].reverse().reduce(mergeRecords, emptyRecord);
  assert.deepEqual(forward, backward);
});

test("the registry stays bounded, drops suspects before convicted content and forgets after a day", () => {
  const node = createNode();
  for (const crash of ["e1/b", "e2/b"])
    node.send({ type: "crashed", crash, digests: [digest] });
  const digests = Array.from({ length: poisonLimit }, (_, index) =>
    brandString<Digest>(`other-${index}`),
  );
  const commands = node.send({ type: "crashed", crash: "e3/b", digests });
  assert.equal(node.state.entries.size, poisonLimit);
  assert.ok(commands.some((command) => command.type === "count"));
  assert.equal(statusOf(node.state, digest), "convicted");
  node.send({ type: "sweep" }, 24 * 3_600_000);
  assert.equal(node.state.entries.size, 0);
});

test("a malformed row is not taken as a record", () => {
  assert.ok(parsePoisonRecord({ crashes: "e1" }).isLeft());
  assert.ok(parsePoisonRecord({ crashes: ["e1"], cleared: [] }).isRight());
});

// A crash leaves a record for each request that the server had in hand, which must not go to all nodes.
test("a request goes to the nodes that put its crashes together, and to all once it is convicted", () => {
  const node = createNode();
  const request = formatRequestDigest(brandString("d3"));
  const crash = (id: string) =>
    node
      .send({ type: "crashed", crash: id, digests: [request, digest] })
      .flatMap((command) =>
        command.type === "publish-record" ? command.audience : [],
      );
  assert.deepEqual(crash("s1/1"), ["keepers", "all"]);
  assert.deepEqual(crash("s2/1"), ["all", "all"]);
  const [cleared] = node.send({ type: "proven-sound", digest: request });
  assert.equal(cleared?.type === "publish-record" && cleared.audience, "all");
});
