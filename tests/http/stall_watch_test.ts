import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { type TestContext, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { StallWatch } from "../../src/adapters/http/stall_watch.ts";
import { millis } from "../../src/core/clock.ts";
import { formatPost, RawConnection } from "../support/raw_connection.ts";

const limit = millis(1_000);

/** Opens a response with a watch, and the connection of its caller. */
async function openResponse(context: TestContext) {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const caller = await RawConnection.open(port);
  context.after(() => {
    caller.destroy();
    server.close();
  });
  caller.write(formatPost("/x"));
  const [, response] = (await once(server, "request")) as [
    unknown,
    ServerResponse,
  ];
  let stalls = 0;
  const watch = StallWatch.create(response, { limit, onStall: () => stalls++ });
  return { caller, response, watch, countStalls: () => stalls };
}

// Guards against streams that are broken off in a pause of their own, and against
// connections that keep the timeout of a response which has ended.
for (const step of ["write", "end"] as const) {
  test(`nothing stalls after a ${step} that the caller has taken`, async (context) => {
    const { caller, response, watch, countStalls } =
      await openResponse(context);
    response[step]("x");
    watch.check();
    await sleep(3 * limit);
    assert.equal(countStalls(), 0);
    assert.equal(caller.isClosed, false);
  });
}

test("a caller that reads nothing stalls after the limit and before twice of it", async (context) => {
  const { caller, response, watch, countStalls } = await openResponse(context);
  caller.pause();
  response.write(Buffer.alloc(20_000_000));
  watch.check();
  await sleep(limit);
  assert.equal(countStalls(), 0);
  await sleep(limit);
  assert.equal(countStalls(), 1);
});
