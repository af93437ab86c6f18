import { millis } from "../../src/core/clock.ts";
import type { BackendServer } from "../../src/core/gateway/servers.ts";
import type { ProxiedRequest } from "../../src/ports/gateway.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { streamRoute } from "./gateway_setups.ts";
import { createDemand, createEngine, createRoute } from "./gateway_values.ts";
import type { RecordedAttempt } from "./recorded_exchange.ts";

/** Time for a node to learn of its servers, in ms. */
const startTime = 3_000;

/** What a caller names when it takes up a stream. */
export type Resumption = {
  readonly resumeAfter?: string;
  readonly resumes?: string;
};

/** Engine with an adapter that runs a software version since a start. */
export function createVersionedEngine(
  id: string,
  softwareVersion: string | undefined,
  born?: number,
): BackendServer {
  const engine = createEngine(id, ["a1"]);
  const start = born === undefined ? {} : { born };
  return { ...engine, softwareVersion, ...start } as BackendServer;
}

/** Node with these engines, else two of one software version, and a route whose streams may be taken up. */
export async function createStreamFixture(
  engines: readonly BackendServer[] = ["e1", "e2"].map((id) =>
    createVersionedEngine(id, "v1", 1),
  ),
  options: ConstructorParameters<typeof GatewayFixture>[0] = {},
): Promise<GatewayFixture> {
  const fixture = new GatewayFixture(options);
  fixture.configure([createRoute({ ...streamRoute, resumable: true })]);
  fixture.register(...engines);
  await fixture.advance(startTime);
  return fixture;
}

/** Parts of the prompt, and the body if other requests have the same. */
type StreamFields = Resumption & {
  readonly parts?: string[];
  readonly body?: Uint8Array;
};

/** Opens a stream, or takes one up, and waits some ms; resolves to its answer and handle. */
export async function openStream(
  fixture: GatewayFixture,
  options: StreamFields & { readonly wait: number },
) {
  const { wait, parts, ...resumption } = options;
  const demand = createDemand("a1", parts);
  const fields = { demand, deadline: millis(10_000), ...resumption };
  const opened = fixture.open(fields as Partial<ProxiedRequest>);
  await fixture.advance(wait);
  return opened;
}

/** As `openStream`; resolves also to the attempt that was made. */
export async function openAttempt(
  fixture: GatewayFixture,
  options: StreamFields = {},
) {
  const opened = await openStream(fixture, { ...options, wait: 100 });
  return { ...opened, attempt: fixture.lastAttempt() };
}

/** The first event arrives on a connection that has just been opened. */
export function answerOnNewConnection(
  fixture: GatewayFixture,
  attempt: RecordedAttempt,
  event = 1,
): void {
  attempt.start(200, fixture.clock.now());
  attempt.bytes(`id: ${event}\n\n`);
}
