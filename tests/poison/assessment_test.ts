import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { brandString, type Digest } from "../../src/core/ids.ts";
import { assessUnits } from "../../src/core/poison/assessment.ts";
import { crashLimit, mergeRecords } from "../../src/core/poison/record.ts";
import {
  createPoisonState,
  decidePoison,
  type PoisonEvent,
} from "../../src/core/poison/registry.ts";
import { formatRequestDigest } from "../../src/core/poison/units.ts";

const first = brandString<Digest>("first");
const second = brandString<Digest>("second");
const other = brandString<Digest>("other");
const deadly = brandString<Digest>("deadly");

function createNode() {
  let state = createPoisonState();
  const send = (event: PoisonEvent, at = 0) => {
    const decision = decidePoison(state, event, millis(at));
    state = decision.state;
    return decision.commands.map(({ type }) => type);
  };
  return {
    send,
    crash: (crash: string, digests: Digest[], at = 0) =>
      send({ type: "crashed", crash, digests }, at),
    proveSound: (digest: Digest) => send({ type: "proven-sound", digest }),
    assess: (
      parts: Digest[],
      options: { sound?: Digest[]; at?: number } = {},
    ) =>
      assessUnits(state, parts, {
        now: millis(options.at ?? 0),
        isKnownSound: (part) => options.sound?.includes(part) === true,
      }),
  };
}

test("a part is suspected after one crash and convicted after the second", () => {
  const node = createNode();
  assert.equal(node.assess([first, deadly]), "unknown");
  node.crash("e1/1", [first, deadly]);
  assert.equal(node.assess([first, deadly]), "suspect");
  node.crash("e2/1", [first, deadly]);
  assert.equal(node.assess([first, deadly]), "convicted");
});

// Sound requests share their first part with those that crash engines.
test("a part is not convicted for crashes that another part explains as well", () => {
  const node = createNode();
  node.crash("e1/1", [first, deadly]);
  node.crash("e2/1", [first, deadly]);
  assert.equal(node.assess([first, second]), "suspect");
  node.crash("e3/1", [second, deadly]);
  assert.equal(node.assess([first]), "unknown");
  assert.equal(node.assess([second]), "unknown");
  assert.equal(node.assess([other, deadly]), "convicted");
});

test("a part that is answered without a crash is cleared, though it was convicted", () => {
  const node = createNode();
  node.crash("e1/1", [first, deadly]);
  node.crash("e2/1", [first, deadly]);
  const commands = node.proveSound(first);
  assert.ok(commands.includes("publish-record"));
  assert.ok(commands.includes("write-row"), "the stored record is corrected");
  assert.equal(node.assess([first, second]), "unknown");
  assert.equal(node.assess([other, deadly]), "convicted");
});

// Many servers that are lost at the same moment must not convict what all requests share.
test("a part that is known to be sound is convicted only if crashes go on", () => {
  const node = createNode();
  const sound = [first];
  const lost = ["e1/1", "e2/1", "e3/1", "e4/1", "e5/1", "e6/1"];
  lost.forEach((crash, index) => {
    node.crash(crash, [first], index * 20);
  });
  assert.equal(node.assess([first], { sound, at: 10_000 }), "unknown");
  node.proveSound(first);
  for (const second of [0, 1, 2])
    node.crash(`e${second}/2`, [first], 20_000 + 500 * second);
  assert.equal(node.assess([first], { sound, at: 21_499 }), "unknown");
  assert.equal(node.assess([first], { sound, at: 21_500 }), "convicted");
});

// Several parts that crash engines stand behind one that many share: it ran at all of their crashes.
test("a part that is known to be sound is not convicted for crashes that several other parts explain", () => {
  const node = createNode();
  const sound = [first];
  const parts = [deadly, second];
  for (const [at, part] of parts.entries())
    for (const attempt of [0, 1])
      node.crash(
        `e${at}/${attempt}`,
        [first, part],
        1_000 * (2 * at + attempt),
      );
  assert.equal(node.assess([first, other], { sound, at: 4_500 }), "unknown");
  for (const part of parts)
    assert.equal(node.assess([first, part], { sound, at: 4_500 }), "convicted");
});

// A session ran at the crashes of two parts, of which each has crashed more engines.
test("a part whose crashes other parts with more of them explain together is tried, not convicted", () => {
  const node = createNode();
  for (const [at, part] of [deadly, second].entries()) {
    node.crash(`e${at}/1`, [first, part], 1_000 * at);
    node.crash(`e${at}/2`, [part], 1_000 * at + 200);
    node.crash(`e${at}/3`, [part], 1_000 * at + 400);
  }
  assert.equal(node.assess([first], { at: 2_000 }), "suspect");
  assert.equal(node.assess([first, deadly], { at: 2_000 }), "convicted");
  node.crash("e9/1", [first], 2_000);
  assert.equal(node.assess([first], { at: 2_000 }), "convicted");
});

test("a convicted part may be tried again, the later the more trials have crashed engines", () => {
  const node = createNode();
  node.crash("e1/1", [deadly]);
  node.crash("e2/1", [deadly]);
  assert.equal(node.assess([deadly], { at: 3_999 }), "convicted");
  assert.equal(node.assess([deadly], { at: 4_000 }), "suspect");
  node.crash("e3/1", [deadly], 4_000);
  assert.equal(node.assess([deadly], { at: 19_999 }), "convicted");
  assert.equal(node.assess([deadly], { at: 20_000 }), "suspect");
  node.crash("e1/2", [deadly], 20_000);
  assert.equal(node.assess([deadly], { at: 83_999 }), "convicted");
  assert.equal(node.assess([deadly], { at: 84_000 }), "suspect");
});

// Engines that crash one after another for another cause would put the next trial off for minutes.
test("crashes of requests that were sent before the conviction do not delay its trials further", () => {
  const node = createNode();
  for (let at = 0; at < 6; at++) node.crash(`e${at}/1`, [deadly], 300 * at);
  assert.equal(node.assess([deadly], { at: 5_499 }), "convicted");
  assert.equal(node.assess([deadly], { at: 5_500 }), "suspect");
});

// A record keeps some crashes only; a trial whose crash it did not take was followed by the next one at once.
test("a convicted part is tried more and more rarely, however many engines it has crashed", () => {
  const node = createNode();
  let at = 0;
  for (; at < 20; at++) node.crash(`e${at}/1`, [deadly], 300 * at);
  let time = 300 * at + 4_000;
  for (const delay of [16_000, 64_000, 256_000]) {
    assert.equal(node.assess([deadly], { at: time }), "suspect");
    node.crash(`e${at++}/1`, [deadly], time);
    time += delay;
    assert.equal(node.assess([deadly], { at: time - 500 }), "convicted");
  }
});

// Two nodes that keep different old crashes would send their records to each other for good.
test("a full record is not changed by a crash that it has dropped", () => {
  const old = { crashes: ["e00/1"], cleared: ["e00/1"] };
  const crashes = Array.from({ length: crashLimit }, (_, at) => `e${at + 10}`);
  const full = { crashes, cleared: crashes };
  assert.equal(mergeRecords(full, old), full);
});

// A part that has run well for long collects crashes of other causes, which its good runs clear.
test("a part with many cleared crashes is convicted after two more", () => {
  const node = createNode();
  for (let at = 0; at < 40; at++) {
    node.crash(`e${at}/1`, [deadly], at * 1_000);
    node.proveSound(deadly);
  }
  node.crash("e90/1", [deadly], 50_000);
  node.crash("e91/1", [deadly], 50_500);
  assert.equal(node.assess([deadly], { at: 50_500 }), "convicted");
});

// Engines crash under the trials of sound sessions too, while other requests crash engine after engine.
test("a trial whose crash another unit explains better does not put off the next one", () => {
  const node = createNode();
  node.crash("e1/1", [first]);
  node.crash("e2/1", [first]);
  node.crash("e3/1", [deadly], 3_000);
  node.crash("e4/1", [first, deadly], 4_100);
  assert.equal(node.assess([first], { at: 20_099 }), "convicted");
  node.crash("e5/1", [deadly], 5_000);
  node.crash("e6/1", [deadly], 5_500);
  assert.equal(node.assess([first], { at: 8_099 }), "convicted");
  assert.equal(node.assess([first], { at: 8_100 }), "suspect");
});

// A session that ran at the crashes of several requests has more of them than each of these.
test("a whole request that another unit explains runs one at a time after two crashes", () => {
  const node = createNode();
  const request = formatRequestDigest(brandString("r"));
  node.crash("e1/1", [first, request]);
  node.crash("e2/1", [first, request]);
  node.crash("e3/1", [first]);
  assert.equal(node.assess([request]), "suspect");
  assert.equal(node.assess([second, request]), "suspect");
  node.crash("e4/1", [request]);
  assert.equal(node.assess([request]), "convicted");
});

// Each process that starts would otherwise begin with a trial at once.
test("a process that reads a conviction from the table waits as long as its crashes tell", () => {
  const node = createNode();
  const record = { crashes: ["e1/1", "e2/1", "e3/1"], cleared: [] };
  node.send({ type: "record-received", digest: deadly, record, from: "row" });
  assert.equal(node.assess([deadly], { at: 15_999 }), "convicted");
  assert.equal(node.assess([deadly], { at: 16_000 }), "suspect");
});

// Otherwise each node would send every record to all others.
test("a record that was sent to all nodes is neither sent on nor stored", () => {
  const node = createNode();
  node.crash("e1/1", [deadly]);
  const record = { crashes: ["e2/1"], cleared: [] };
  const commands = node.send({
    type: "record-received",
    digest: deadly,
    record,
    from: "broadcast",
  });
  assert.deepEqual(commands, ["record"]);
  assert.equal(node.assess([deadly]), "convicted");
});

// A row that stayed would convict the part again at each start of a node.
test("a conviction is forgotten after a day, and so is its row", () => {
  const node = createNode();
  const day = 24 * 3_600_000;
  node.crash("e1/1", [deadly]);
  node.crash("e2/1", [deadly]);
  node.crash("e2/1", [first]);
  assert.deepEqual(node.send({ type: "sweep" }, day - 1), []);
  assert.deepEqual(node.send({ type: "sweep" }, day), ["remove-row"]);
  assert.equal(node.assess([deadly], { at: day }), "unknown");
});
