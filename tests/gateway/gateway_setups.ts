import { millis } from "../../src/core/clock.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import {
  createEngine,
  createRoute,
  createServer,
  engines,
} from "./gateway_values.ts";

const second = createServer({
  id: brandString<ServerId>("s2"),
  address: "10.0.0.2:80",
});

export async function createBookingFixture(
  route: Parameters<typeof createRoute>[0] = {},
) {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute(route)]);
  fixture.register(createServer({}), second);
  await fixture.advance(10);
  return fixture;
}

export const streamRoute = {
  retryRule: "stream" as const,
  targets: [{ service: engines, weight: 1 }],
  targetLatency: millis(1_000),
  timeout: millis(10_000),
};

export async function createEngineFixture(
  route: Parameters<typeof createRoute>[0] = {},
  held: string[] = ["a1"],
) {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute({ ...streamRoute, ...route })]);
  fixture.register(createEngine("e1", held), createEngine("e2", held));
  await fixture.advance(3_000);
  return fixture;
}
