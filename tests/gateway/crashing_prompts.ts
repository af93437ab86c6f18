import assert from "node:assert/strict";
import { GatewayFixture } from "./gateway_fixture.ts";
import { streamRoute } from "./gateway_setups.ts";
import { createDemand, createEngine, createRoute } from "./gateway_values.ts";
import type { RecordedAttempt } from "./recorded_exchange.ts";

/** Shared parts of prompts that crash engines, and of sound ones. */
export const deadly = ["tenant", "user", "deadly"];
export const sound = ["tenant", "user"];

/** Node before three engines that hold the adapter of all requests. */
export async function createFixture(fields: Partial<typeof streamRoute> = {}) {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute({ ...streamRoute, ...fields })]);
  fixture.register(...["e1", "e2", "e3"].map((id) => createEngine(id, ["a1"])));
  await fixture.advance(3_000);
  return fixture;
}

/** Opens a request; without `text` no other has the same body. */
export async function open(
  fixture: GatewayFixture,
  parts: string[],
  text?: string,
) {
  const before = fixture.attempts.length;
  const body =
    text === undefined ? {} : { body: new TextEncoder().encode(text) };
  const demand = createDemand("a1", parts);
  const { answer } = fixture.open({ demand, ...body });
  await fixture.advance(5);
  const [attempt] = fixture.attempts.slice(before);
  return { answer, attempt };
}

/** How the node sees the end of an answer whose engine crashes. */
export type CrashView = (attempt: RecordedAttempt) => void;

const breakOff: CrashView = (attempt) => attempt.fail("broken");

/** The engine begins an answer, crashes and starts again. */
export async function crash(
  fixture: GatewayFixture,
  attempt?: RecordedAttempt,
  showEnd: CrashView = breakOff,
) {
  assert.ok(attempt, "the request was not sent");
  const { server } = attempt;
  fixture.downEngines.add(server);
  attempt.start();
  attempt.bytes("id: 1\n\n");
  showEnd(attempt);
  await fixture.advance(5);
  fixture.downEngines.delete(server);
  fixture.register({
    ...createEngine(server, ["a1"]),
    born: fixture.clock.now(),
  });
}

/** Two engines crash under requests with the deadly part. */
export async function crashTwice(
  fixture: GatewayFixture,
  showEnd?: CrashView,
): Promise<void> {
  for (let crashes = 0; crashes < 2; crashes++) {
    const { attempt } = await open(fixture, deadly);
    await crash(fixture, attempt, showEnd);
  }
}
