import assert from "node:assert/strict";
import { test } from "node:test";
import { millis, sleep } from "../../src/core/clock.ts";
import type { MemoryService } from "../../src/standins/memory_service.ts";
import { formatPost, RawConnection } from "../support/raw_connection.ts";
import { clock, useSpareNode } from "./spare_node.ts";

/** Requests that a connection sends behind one that is being served. */
const requestsAhead = 2_000;
/** Most of them that the node may have taken before the first is answered. */
const maxTaken = 32;
/** Time that the first request runs, and after which the others are counted, in ms. */
const serviceTime = millis(4_000);
const openTime = millis(2_000);

const spare = useSpareNode();

/** Number of requests that the node has refused as malformed. */
async function countRefused(): Promise<number> {
  const answer = await fetch(`http://${spare.node.callers}/metrics`);
  const line = /requests_total\{[^}]*code="malformedBody"[^}]*\} (\d+)/;
  return Number(line.exec(await answer.text())?.[1] ?? 0);
}

/** Sends requests ahead and checks that few are taken before the first is answered, and all are answered. */
async function checkRequestsAhead(body: string): Promise<void> {
  const service = spare.installation.site.services.get("tatry-booking");
  Object.assign(service as MemoryService, {
    fault: "late",
    answerDelay: serviceTime,
  });
  const refusedBefore = await countRefused();
  const connection = await RawConnection.open(spare.node.callers);
  connection.write(formatPost("/services/chains/reservations"));
  const next = formatPost("/v1/completions", { body });
  connection.write(next.repeat(requestsAhead));
  await sleep(clock, openTime);
  const taken = (await countRefused()) - refusedBefore;
  const countAnswers = () => connection.received.split("HTTP/1.1 ").length - 1;
  await connection.waitUntil(() => countAnswers() === requestsAhead + 1);
  assert.equal(countAnswers(), requestsAhead + 1);
  assert.match(connection.received, /^HTTP\/1\.1 2/);
  connection.destroy();
  assert.ok(taken <= maxTaken, `${taken} requests taken`);
}

// Guards against requests that one connection piles up behind one that runs long.
test("a connection with many requests ahead is not read on, and all are answered in order in the end", () =>
  checkRequestsAhead("x".repeat(1024)));

// Guards against the same where a read brings very many of them.
test("a connection with many short requests ahead is not read on, and all are answered in order in the end", () =>
  checkRequestsAhead("{"));
