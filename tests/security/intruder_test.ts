import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { encodeMessage } from "../../src/adapters/gossip/message_codec.ts";
import { UdpDatagrams } from "../../src/adapters/gossip/udp_datagrams.ts";
import { Keyring, readKeyFile } from "../../src/adapters/keys/keyring.ts";
import { encodeForward } from "../../src/adapters/peers/forward_codec.ts";
import { createOperatorClient } from "../../src/adapters/peers/operator_client.ts";
import {
  signatureHeader,
  signMessage,
} from "../../src/adapters/peers/signature.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { type Clock, millis, sleep } from "../../src/core/clock.ts";
import { brandString } from "../../src/core/ids.ts";
import type { GossipMessage } from "../../src/core/membership/types.ts";
import {
  type Installation,
  startInstallation,
  stopInstallation,
} from "../../src/demo/installation.ts";
import { applyDemoSheet, waitUntilReady } from "../../src/demo/run.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";

const clock = RealClock.create();
let installation: Installation;
let callers: string;
let peers: string;
let keyring: Keyring;
const untrustedKeyring = Keyring.create([
  { id: "demo", secret: "a-guess-at-the-secret" },
]);

before(async () => {
  installation = await startInstallation(clock, {
    regions: ["tatry"],
    nodesPerRegion: 1,
  });
  await applyDemoSheet(installation, clock);
  await waitUntilReady(installation.daemons, clock);
  callers = `http://${installation.daemons[0]?.callers}`;
  peers = `http://${installation.daemons[0]?.peers}`;
  keyring = Keyring.create(readKeyFile(installation.keyFile).unsafeCoerce());
});

after(() => stopInstallation(installation));

const forwarded = (): Buffer =>
  encodeForward(
    {
      engine: brandString("tatry-engine-1"),
      submission: {
        path: "/v1/completions",
        body: Buffer.from('{"prompt":"x","max_tokens":2}'),
        work: {
          requestId: brandString("intruder"),
          adapter: brandString("rental-00@v1"),
          customer: brandString("x"),
          priority: "normal",
          expectedTokens: 2,
          arrivedAt: clock.now(),
          deadlineAt: millis(clock.now() + 5_000),
          digest: brandString("d"),
          prefix: brandString("p"),
          resumeAt: 0,
          isolated: false,
        },
      },
    },
    clock.now(),
  );

function postForward(body: Buffer, signature?: string): Promise<Response> {
  return fetch(`${peers}/forward`, {
    method: "POST",
    body: new Uint8Array(body),
    headers: signature === undefined ? {} : { [signatureHeader]: signature },
  });
}

function sign(body: Buffer, signClock: Clock = clock, key = keyring): string {
  return signMessage(
    { method: "POST", path: "/forward", body },
    { keyring: key, clock: signClock },
  );
}

function countDrafts(): number {
  const engines = [...installation.site.engines.values()];
  return engines.reduce((sum, engine) => sum + engine.runs.length, 0);
}

test("the caller listener serves neither peer calls nor operator calls", async () => {
  for (const path of ["/forward", "/trpc/drain", "/trpc/status"]) {
    const answer = await fetch(`${callers}${path}`, { method: "POST" });
    assert.equal(answer.status, 404);
  }
});

test("forwarded work with a missing, guessed, altered, expired or replayed signature is not run", async () => {
  const runs = countDrafts();
  const body = forwarded();
  const other = Buffer.concat([body, Buffer.from([0])]);
  const late: Clock = {
    ...clock,
    now: () => clock.now(),
    schedule: (delay, callback) => clock.schedule(delay, callback),
    wallNow: () => millis(clock.wallNow() - 60_000),
  };
  const statuses = [
    (await postForward(body)).status,
    (await postForward(body, "x;y;z")).status,
    (await postForward(body, sign(body, clock, untrustedKeyring))).status,
    (await postForward(other, sign(body))).status,
    (await postForward(body, sign(body, late))).status,
  ];
  assert.deepEqual(statuses, [401, 401, 401, 401, 401]);
  assert.equal(countDrafts(), runs);
  const signature = sign(body);
  const genuine = await postForward(body, signature);
  assert.equal(genuine.status, 200);
  assert.match(await genuine.text(), /\[DONE\]/);
  assert.equal((await postForward(body, signature)).status, 401);
  assert.equal(countDrafts(), runs + 1);
});

test("an operator without the key can neither read the status nor drain a node", async () => {
  const address = installation.daemons[0]?.peers as string;
  const client = createOperatorClient({
    address,
    keyring: untrustedKeyring,
    clock,
  });
  await assert.rejects(client.status.query());
  await assert.rejects(client.timeline.query({}));
  await assert.rejects(client.drain.mutate({ operator: "stranger" }));
  assert.ok(installation.daemons[0]?.ready);
});

test("gossip datagrams of a sender without the key add no member", async () => {
  const address = installation.daemons[0]?.peers as string;
  const datagrams = await UdpDatagrams.open({
    host: "127.0.0.1",
    port: 0,
    keyring: untrustedKeyring,
    clock,
    journal: silentJournal,
    meter: silentMeter,
  });
  const join: GossipMessage = {
    purpose: "sync",
    from: 77,
    items: [
      {
        type: "member",
        info: {
          node: brandString("intruder.1"),
          region: brandString("tatry"),
          dataCentre: brandString("tatry-a"),
          callers: "127.0.0.1:1",
          peers: "127.0.0.1:2",
        },
        incarnation: 1,
        state: "alive",
      },
    ],
  };
  datagrams.send(address, join);
  const raw = createSocket("udp4");
  const [host, port] = address.split(":");
  const unsigned = encodeMessage(join, 1_000).bodies[0] as Uint8Array;
  for (const bytes of [unsigned, Buffer.from("junk"), Buffer.alloc(60_000)]) {
    raw.send(bytes, Number(port), host);
  }
  await sleep(clock, millis(500));
  const client = createOperatorClient({ address, keyring, clock });
  const { members } = await client.status.query();
  assert.equal(members.length, 1);
  raw.close();
  datagrams.close();
});

test("connections with oversized headers or slow senders are cut off while others are served", async () => {
  const url = new URL(callers);
  const open = () => connect(Number(url.port), url.hostname);
  const endless = open();
  endless.on("error", () => {});
  endless.write(`GET / HTTP/1.1\r\n${"x: y\r\n".repeat(8_000)}`);
  const slow = open();
  slow.on("error", () => {});
  slow.write("POST /v1/completions HTTP/1.1\r\nhost: x\r\n");
  const closed = Promise.all([once(endless, "close"), once(slow, "close")]);
  endless.resume();
  slow.resume();
  const served = await fetch(`${callers}/healthz`);
  assert.equal(served.status, 200);
  const limit = sleep(clock, millis(8_000)).then(() => "open");
  assert.notEqual(await Promise.race([closed, limit]), "open");
});

test("the timeline holds no secret", async () => {
  const text = JSON.stringify(installation.daemons[0]?.timeline.read());
  const secret = readKeyFile(installation.keyFile).unsafeCoerce()[0]?.secret;
  assert.ok(secret !== undefined && !text.includes(secret));
});
