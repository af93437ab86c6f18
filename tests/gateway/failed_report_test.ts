import assert from "node:assert/strict";
import { test } from "node:test";
import { type Either, Left, Right } from "purify-ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import type { BackendServer } from "../../src/core/gateway/servers.ts";
import type { GatewayContext } from "../../src/node/gateway/context.ts";
import { IncarnationWatch } from "../../src/node/gateway/servers/incarnation_watch.ts";
import type { EngineStatus, StatusFailure } from "../../src/ports/gateway.ts";
import { createEngine } from "./gateway_values.ts";

// Guards against a server whose entry alone is relied on after one failed report (such as 503 while
// it starts again), although its reports state its start: a stream then goes on there without proof.
test("a server that has stated its start in a report is not silent after a report that fails", async () => {
  const clock = VirtualClock.create();
  const context = {
    now: () => clock.now(),
    dependencies: { clock },
  } as unknown as GatewayContext;
  const server: BackendServer = { ...createEngine("e1", ["a1"]), born: 1 };
  let report: Either<StatusFailure, EngineStatus> = Right({
    models: [],
    incoming: [],
    busy: false,
    orderCount: 0,
    born: 1,
  });
  const watch = IncarnationWatch.create(context, {
    fetchStatus: async () => report,
    takePermit: async () => ({ kind: "not-needed" }),
  });
  await watch.fetchStatus(server);
  assert.ok(!watch.isSilent(server));
  report = Left({ detail: "Engine answered status 503", hasAnswered: true });
  await watch.fetchStatus(server);
  assert.ok(!watch.isSilent(server));
});
