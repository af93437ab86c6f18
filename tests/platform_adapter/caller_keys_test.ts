import assert from "node:assert/strict";
import { test } from "node:test";
import { digestKey } from "../../src/adapters/keys/key_digest.ts";
import { answer, exchangeRaw, head, id, openFront } from "./front_gateway.ts";

const digest = digestKey("key-1");
const end = "Content-Length: 0\r\n\r\n";

/** Sends one request with these header lines; returns it as the gateway gets it. */
async function send(lines: string) {
  const { front, port, requests } = await openFront(answer);
  await exchangeRaw(port, `${head}${id}${lines}${end}`);
  await front.stopAccepting();
  const [request] = requests;
  assert.ok(request);
  return request;
}

test("a key is decoded to its digest", async () => {
  for (const lines of ["Api-Key: key-1\r\n", "aPI-kEY:   key-1  \r\n"]) {
    const { credential } = await send(lines);
    assert.deepEqual(credential, { kind: "key", digest });
  }
  assert.deepEqual((await send("")).credential, { kind: "none" });
});

// Guards against two readings of one request, and against keys in the texts that callers and logs get.
test("several keys, and text that cannot be a key, are malformed", async () => {
  const odd = [
    "Api-Key: secret-1\r\nApi-Key: secret-1\r\n",
    "Api-Key: secret-1\r\nX: y\r\napi-key: secret-2\r\n",
    "Api-Key:\r\n",
    "Api-Key: secret 1\r\n",
    "Api-Key: secret\u0080\r\n",
    "Api-Key: Bearer secret-1\r\n",
    `Api-Key: ${"secret-1".repeat(129)}\r\n`,
  ];
  for (const lines of odd) {
    const { credential } = await send(lines);
    assert.equal(credential?.kind, "malformed", lines);
    assert.doesNotMatch(JSON.stringify(credential), /secret/);
  }
});

// A caller must not be able to name its organisation itself, nor to pass for another node.
test("the key, a name of an organisation and a digest of the caller's own reach no server", async () => {
  const stolen = digestKey("key-2");
  const { headers, credential, relayed } = await send(
    `Api-Key: key-1\r\nGoldcrestwinch-Tenant: other\r\nGOLDCRESTWINCH-TENANT: third\r\nGoldcrestwinch-Relayed: 1\r\nGoldcrestwinch-Relayed-Key: ${stolen}\r\n`,
  );
  assert.deepEqual(headers, [
    "Host",
    "H.Example:80",
    "Goldcrestwinch-Request-Id",
    "r1",
  ]);
  assert.deepEqual(credential, { kind: "key", digest });
  assert.equal(relayed, undefined);
});
