import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { HttpRelayLinks } from "../../platform/relay_links.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis } from "../../src/core/clock.ts";
import { brandString } from "../../src/core/ids.ts";
import type { ProxiedRequest, ServerFailure } from "../../src/ports/gateway.ts";
import { silentMeter } from "../../src/ports/journal.ts";

const request: ProxiedRequest = {
  requestId: brandString("c0ffee"),
  method: "GET",
  host: "desk.example",
  target: "/lookup/1",
  path: "/lookup/1",
  headers: [],
  body: new Uint8Array(0),
  demand: undefined,
  deadline: undefined,
  resumeAfter: undefined,
  arrivedAt: millis(0),
};

/** Passes the request on to a node that answers with a status; resolves to the status passed on, or the failure. */
async function passOn(
  status: number,
  head: Record<string, string>,
): Promise<number | ServerFailure["kind"]> {
  const node = createServer((_, response) => {
    response.writeHead(status, head).end();
  });
  node.listen(0, "127.0.0.1");
  await once(node, "listening");
  const { port } = node.address() as AddressInfo;
  const clock = RealClock.create();
  const links = HttpRelayLinks.create({ clock, meter: silentMeter });
  const relayed = { request, timeLeft: millis(1_000), runs: 0 };
  try {
    return await new Promise((resolve) => {
      links.send(`127.0.0.1:${port}`, relayed, {
        onHead: ({ status }) => resolve(status),
        onBytes: () => {},
        onEnd: () => {},
        onFailure: ({ kind }) => resolve(kind),
      });
    });
  } finally {
    node.closeAllConnections();
    node.close();
  }
}

// Guards against answers of nodes with older software, which know no requests of other nodes,
// while nodes are replaced one after another.
test("a node that does not know the request it is passed has not run it", async () => {
  assert.equal(await passOn(404, {}), "not-run");
});

test("a node that knows no route for a request refuses it for both", async () => {
  const head = { "goldcrestwinch-request-id": request.requestId };
  assert.equal(await passOn(404, head), 404);
});
