import assert from "node:assert/strict";
import { test } from "node:test";
import { findFreePorts } from "./free_ports.ts";

const count = 1_000;

// Guards against two machines of a test that get the same port, of which one then never becomes ready.
test("a port that was found is not found again, whether or not it is in use by then", async () => {
  const inTurn: number[] = [];
  for (let at = 0; at < count; at++) inTurn.push(...(await findFreePorts(1)));
  const atOnce = Array.from({ length: count }, () => findFreePorts(1));
  const ports = [...inTurn, ...(await Promise.all(atOnce)).flat()];
  assert.equal(new Set(ports).size, 2 * count);
});
