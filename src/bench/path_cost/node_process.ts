/** Process of the path-cost benchmark that runs two nodes: one owns the engine, the other forwards to it. */
import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Left } from "purify-ts";
import { EngineClient } from "../../adapters/backends/engine_client.ts";
import { createCallerServer } from "../../adapters/callers/caller_server.ts";
import { InFlightLimiter } from "../../adapters/callers/in_flight_limiter.ts";
import { Keyring } from "../../adapters/keys/keyring.ts";
import { Metrics } from "../../adapters/observe/metrics.ts";
import { Timeline } from "../../adapters/observe/timeline.ts";
import { HttpForwarder } from "../../adapters/peers/forward_client.ts";
import { ForwardServer } from "../../adapters/peers/forward_server.ts";
import { createPeerServer } from "../../adapters/peers/peer_server.ts";
import { RealClock } from "../../adapters/time/real_clock.ts";
import { brandString, type DataCentre, type NodeId } from "../../core/ids.ts";
import { defaultSessionSettings } from "../../core/lease/state.ts";
import { refuse } from "../../core/results/refusal.ts";
import type { EngineView } from "../../core/routing/view.ts";
import { Node } from "../../node/node.ts";
import type { ClusterMember } from "../../ports/cluster.ts";
import type { OperatorPort } from "../../ports/operators.ts";
import { MemoryTable } from "../../standins/memory_table.ts";
import { serveChild } from "./child.ts";
import { benchAdapter, benchLimits } from "./setup.ts";

const clock = RealClock.create();
const table = MemoryTable.create(clock);
const keyring = Keyring.create([{ id: "bench", secret: "bench-secret-0001" }]);
const region = brandString<ClusterMember["region"]>("tatry");
const members: ClusterMember[] = [];
let views: readonly EngineView[] = [];

const operatorRefusal = refuse(
  "unknownPath",
  "Operator calls are not supported by the benchmark",
);
const operators: OperatorPort = {
  status: () => {
    throw new Error(operatorRefusal.detail);
  },
  timeline: () => [],
  drain: () => {},
  applySheet: async () => Left(operatorRefusal),
  history: async () => Left(operatorRefusal),

  showSheet: () => Left(operatorRefusal),
  exportConfiguration: () => [],
};

async function listen(server: Server): Promise<string> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts one node with its listeners; returns the node and its origin for callers. */
async function startNode(name: string, engineOrigin: string | undefined) {
  const nodeId = brandString<NodeId>(name);
  // Separate data centres, since within one the owner would hand the engine over to the entry node.
  const dataCentre = brandString<DataCentre>(`${name}-centre`);
  const metrics = Metrics.create();
  const timeline = Timeline.create({ node: nodeId, clock });
  const shared = { clock, keyring, timeline, meter: metrics };
  const node: Node = Node.create({
    nodeId,
    region,
    dataCentre,
    clock,
    random: Math.random,
    journal: timeline,
    meter: metrics,
    table,
    forwarder: HttpForwarder.create(shared),
    cluster: {
      members: () => members,
      engineViews: () => views,
      publishEngines: (own) => {
        if (own.length > 0) views = own;
      },
      publishOutage: () => {},

      outageConfirmedAt: () => undefined,
      publishLeaving: () => {},
      publishPoison: () => {},
      publishDemand: () => {},
      leave: async () => {},
    },
    configuration: {
      current: () => undefined,
      resolveModel: () => ({ kind: "found", key: brandString(benchAdapter) }),
    },
    permits: {
      request: (engine) => setImmediate(() => node.grantPermit(engine)),
      release: () => {},
      stop: () => {},
    },
    poison: {
      suspect: () => {},
      clear: () => {},
      findSuspicion: () => "none",
      stop: () => {},
    },
    engines:
      engineOrigin === undefined
        ? []
        : [
            {
              engine: brandString("engine-1"),
              limits: benchLimits,
              link: EngineClient.create({
                origin: engineOrigin,
                clock,
                streams: benchLimits.batch,
                meter: metrics,
              }),
            },
          ],
    services: new Map(),
    lookups: new Map(),
    session: defaultSessionSettings,
    onStopped: () => {},
  });
  const forwards = ForwardServer.create({ target: node, clock });
  const peers = await listen(
    createPeerServer({ ...shared, forwards, operators }),
  );
  members.push({ node: nodeId, region, dataCentre, state: "alive", peers });
  node.markConfigured();
  const limits = InFlightLimiter.create({
    inFlight: 4096,
    inFlightPerCaller: 4096,
  });
  const callers = await listen(
    createCallerServer({
      front: node,
      clock,
      meter: metrics,
      limits,
      readMetrics: () => metrics.registry.metrics(),
    }),
  );
  return { node, origin: `http://${callers}` };
}

serveChild<{ engine: string }>(async ({ engine }) => {
  const owner = await startNode("owner", engine);
  while (!views.some((view) => view.held.size > 0)) {
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  const entry = await startNode("entry", undefined);
  return { origins: { node: owner.origin, entry: entry.origin } };
});
