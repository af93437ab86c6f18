import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { after, test } from "node:test";
import { FrameCodec } from "../../src/adapters/gossip/frame.ts";
import {
  decodeMessage,
  encodeMessage,
} from "../../src/adapters/gossip/message_codec.ts";
import {
  maxBodyBytes,
  maxDatagramBytes,
  UdpDatagrams,
} from "../../src/adapters/gossip/udp_datagrams.ts";
import {
  decodeView,
  encodeView,
} from "../../src/adapters/gossip/view_codec.ts";
import { Keyring } from "../../src/adapters/keys/keyring.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { type Clock, millis, sleep } from "../../src/core/clock.ts";
import type { AdapterKey, NodeId } from "../../src/core/ids.ts";
import { brandString } from "../../src/core/ids.ts";
import { hashText } from "../../src/core/membership/state.ts";
import type { GossipMessage, Item } from "../../src/core/membership/types.ts";
import type { EngineView } from "../../src/core/routing/view.ts";
import {
  type Meter,
  silentJournal,
  silentMeter,
} from "../../src/ports/journal.ts";

// Guards against forged, replayed or malformed datagrams that are accepted, and
// against items that change in encoding.

const keyring = Keyring.create([{ id: "k1", secret: "0123456789abcdef" }]);
const otherKeyring = Keyring.create([{ id: "k1", secret: "fedcba9876543210" }]);
const opened: UdpDatagrams[] = [];
after(() => {
  for (const datagrams of opened) datagrams.close();
});

/** Counts refused datagrams by reason. */
function countRefusals(): { meter: Meter; refused: Map<string, number> } {
  const refused = new Map<string, number>();
  const meter: Meter = {
    ...silentMeter,
    count: (name, labels) => {
      const reason = labels?.reason ?? "";
      if (name !== "gossip_refused_total") return;
      refused.set(reason, (refused.get(reason) ?? 0) + 1);
    },
  };
  return { meter, refused };
}

async function open(options: {
  meter?: Meter;
  keys?: Keyring;
  clock?: Clock;
}): Promise<UdpDatagrams> {
  const datagrams = await UdpDatagrams.open({
    host: "127.0.0.1",
    port: 0,
    keyring: options.keys ?? keyring,
    clock: options.clock ?? RealClock.create(),
    journal: silentJournal,
    meter: options.meter ?? silentMeter,
  });
  opened.push(datagrams);
  return datagrams;
}

const entries: Item[] = Array.from({ length: 100 }, (_, index) => ({
  type: "entry",
  tag: 7,
  after: index,
  entry: {
    topic: "engine",
    key: `engine-${index}`,
    version: index + 1,
    value: [1],
  },
}));
const message: GossipMessage = { purpose: "share", from: 7, items: entries };

test("a message larger than a datagram arrives in several whole ones", async () => {
  const receiver = await open({});
  const sender = await open({});
  const items: Item[] = [];
  receiver.onMessage((part) => items.push(...part.items));
  sender.send(`127.0.0.1:${receiver.port}`, message);
  await sleep(RealClock.create(), millis(100));
  assert.deepEqual(items, entries);
});

test("datagrams with a wrong key, an old time, a used nonce or no valid form are refused and counted", async () => {
  const { meter, refused } = countRefusals();
  const receiver = await open({ meter });
  let received = 0;
  receiver.onMessage(() => received++);
  const to = `127.0.0.1:${receiver.port}`;
  const short: GossipMessage = {
    purpose: "ping",
    from: 7,
    about: 8,
    items: [],
  };
  (await open({ keys: otherKeyring })).send(to, short);
  (await open({ clock: VirtualClock.create() })).send(to, short);
  const raw = createSocket("udp4");
  const sendRaw = (bytes: Uint8Array) =>
    raw.send(bytes, receiver.port, "127.0.0.1");
  const framer = FrameCodec.create({ keyring, clock: RealClock.create() });
  const [body] = encodeMessage(short, maxBodyBytes).bodies;
  const frame = framer.encode(body as Buffer);
  sendRaw(frame);
  sendRaw(frame);
  sendRaw(Buffer.from("garbage"));
  sendRaw(framer.encode(Buffer.from([0xc1, 0xff])));
  sendRaw(Buffer.alloc(maxDatagramBytes + 1));
  await sleep(RealClock.create(), millis(100));
  raw.close();
  assert.equal(received, 1);
  assert.deepEqual(Object.fromEntries([...refused].sort()), {
    body: 1,
    form: 1,
    replay: 1,
    signature: 1,
    size: 1,
    time: 1,
  });
});

test("a changed bit anywhere in a frame is detected", () => {
  const clock = RealClock.create();
  const framer = FrameCodec.create({ keyring, clock });
  const frame = framer.encode(Buffer.from("body"));
  for (let index = 0; index < frame.length; index++) {
    const changed = Buffer.from(frame);
    changed[index] = (changed[index] ?? 0) ^ 1;
    assert.equal(typeof framer.open(changed), "string", `byte ${index}`);
  }
  assert.deepEqual(framer.open(frame), Buffer.from("body"));
});

test("every kind of item survives the codec, and malformed ones are refused", () => {
  const items: Item[] = [
    {
      type: "member",
      info: {
        node: brandString("a#1"),
        region: brandString("tatry"),
        dataCentre: brandString("tatry-1"),
        callers: "10.0.0.1:80",
        peers: "10.0.0.1:81",
      },
      incarnation: 3,
      state: "suspect",
    },
    { type: "centre", centre: 5, hash: 0xffff_fff0 | 0 },
    {
      type: "origin",
      tag: 9,
      status: 13,
      contiguousVersion: 8,
      requestsUpdate: true,
    },
    entries[0] as Item,
  ];
  const sent: GossipMessage = { purpose: "sync", from: 1, items };
  const [body] = encodeMessage(sent, maxBodyBytes).bodies;
  assert.deepEqual(decodeMessage(body as Buffer), sent);
  const broken = { ...sent, items: [{ type: "origin", tag: -1 } as Item] };
  const [bad] = encodeMessage(broken, maxBodyBytes).bodies;
  assert.equal(decodeMessage(bad as Buffer), undefined);
});

test("an engine view survives its compact encoding", () => {
  const key = brandString<AdapterKey>("chains-tatry@3");
  const view: EngineView = {
    engine: brandString("engine-1"),
    region: brandString("tatry"),
    owner: brandString<NodeId>("a#1"),
    state: "slow",
    slots: 8,
    batch: 16,
    queued: 3,
    running: 12,
    held: new Set([key]),
    loading: new Set(),
    timeToFirstToken: millis(140),
    interTokenTime: millis(22.5),
    serviceTime: millis(2_300),
    loadWait: millis(240),
    heardAt: millis(5),
  };
  const { engine, region, heardAt } = view;
  const owner = brandString<NodeId>("a#1");
  const context = { engine, owner, region, heardAt };
  const findAdapter = (hash: number) =>
    hash === hashText(key) ? key : undefined;
  const encoded = encodeView(view);
  assert.deepEqual(decodeView(encoded, { ...context, findAdapter }), view);
  assert.equal(decodeView([9], { ...context, findAdapter }), undefined);
});

// Guards against a member with an odd address, or a datagram from port 0: the
// send threw in a timer, which ends the process.
test("a datagram to an odd address is counted and does not throw", async () => {
  let errors = 0;
  const meter: Meter = {
    ...silentMeter,
    count: (name) => {
      if (name === "gossip_send_errors_total") errors++;
    },
  };
  const datagrams = await open({ meter });
  const message: GossipMessage = { purpose: "ping", from: 1, items: [] };
  const addresses = ["127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:x", "n1", ""];
  for (const address of addresses) datagrams.send(address, message);
  assert.equal(errors, addresses.length);
});
