import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { type Millis, millis } from "../../src/core/clock.ts";
import type { OrganisationDirectory } from "../../src/core/gateway/organisations.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import type {
  CallerSink,
  ProxiedRequest,
  ServerResponseSink,
} from "../../src/ports/gateway.ts";
import type { NodeMessage } from "../../src/ports/nodes.ts";
import type { RelayLinks } from "../../src/ports/relays.ts";
import { MemoryTable } from "../../src/standins/memory_table.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { streamRoute } from "./gateway_setups.ts";
import {
  createCredential,
  createDemand,
  createEngine,
  createOrganisation,
  createOrganisations,
  createRoute,
  createServer,
} from "./gateway_values.ts";
import type { RecordedAttempt } from "./recorded_exchange.ts";

// Guards against nodes that lose their links to all servers and keep what they cannot serve.

const times = { openedAt: millis(0), sentAt: millis(0) };

/** Answer of a node to another one that has passed a request on. */
function answerNode(sink: ServerResponseSink): CallerSink {
  return {
    start: (head) => sink.onHead(head, times),
    write: (bytes) => {
      sink.onBytes(bytes);
      return true;
    },
    end: () => sink.onEnd("length"),
    refuse: ({ outcome, detail }) => {
      const kind = outcome === "not-run" ? "not-run" : "broken";
      sink.onFailure({ kind, detail });
    },
    abort: () => sink.onFailure({ kind: "broken", detail: "aborted" }),
  };
}

/** Nodes that serve at once what reaches a server; some of them can be cut off from all servers. */
class StrandedFleet {
  readonly clock = VirtualClock.create();
  readonly table = MemoryTable.create(this.clock);
  readonly nodes: GatewayFixture[] = [];
  readonly stranded = new Set<number>();
  readonly relayed: ProxiedRequest[] = [];
  onMessage: (message: NodeMessage) => void = () => {};
  /** What servers do with a request. */
  serve: (attempt: RecordedAttempt) => void = (attempt) => attempt.answer("ok");

  readonly #organisations: OrganisationDirectory | undefined;

  private constructor(organisations: OrganisationDirectory | undefined) {
    this.#organisations = organisations;
  }

  static async create(
    count: number,
    organisations?: OrganisationDirectory,
  ): Promise<StrandedFleet> {
    const fleet = new StrandedFleet(organisations);
    for (let at = 0; at < count; at++) fleet.#addNode(at);
    await fleet.advance(3_000);
    return fleet;
  }

  open(node: number, fields: Partial<ProxiedRequest> = {}) {
    return (this.nodes[node] as GatewayFixture).open(fields);
  }

  async advance(ms: number): Promise<void> {
    await this.clock.advance(millis(ms));
  }

  #addNode(at: number): void {
    const node = new GatewayFixture({
      clock: this.clock,
      table: this.table,
      machine: `n${at}`,
      peerAddress: `10.0.0.${at}:7000`,
      sendMessage: (address, message) => {
        this.onMessage(message);
        this.clock.schedule(millis(20), () =>
          this.nodes[findNode(address)]?.receive(message),
        );
      },
      onAttempt: (attempt) => {
        if (!this.stranded.has(at)) this.serve(attempt);
      },
      probe: async () => !this.stranded.has(at),
      relayLinks: { send: (...relay) => this.#pass(...relay) },
    });
    this.nodes.push(node);
    const stream = { ...streamRoute, prefix: "/s/", resumable: true };
    const routes = [
      createRoute({ retryRule: "repeatable" }),
      createRoute({ prefix: "/o/" }),
      createRoute({
        prefix: "/none/",
        timeout: millis(20_000),
        targetLatency: millis(20_000),
        targets: [{ service: brandString("none"), weight: 1 }],
      }),
      createRoute(stream),
    ];
    node.configure(routes, 1, { organisations: this.#organisations });
    for (const id of ["s1", "s2", "s3"])
      node.register(createServer({ id: brandString<ServerId>(id) }));
    node.register(createEngine("e1", ["a1"]), createEngine("e2", ["a1"]));
  }

  #pass(...[address, relayed, sink]: Parameters<RelayLinks["send"]>) {
    const { request, timeLeft, runs } = relayed;
    this.relayed.push(request);
    const arrivedAt: Millis = this.clock.now();
    const fields = { deadline: timeLeft, arrivedAt, relayed: { runs } };
    const peer = this.nodes[findNode(address)] as GatewayFixture;
    const handle = peer.gateway.open(
      { ...request, ...fields },
      answerNode(sink),
    );
    return {
      cancel: () => handle.cancel(),
      pause: () => {},
      resume: () => handle.resume(),
    };
  }
}

function findNode(address: string): number {
  return Number(address.split(":")[0]?.split(".")[3]);
}

test("a node that reaches no server passes requests of each kind on, and one that does serves them", async () => {
  const fleet = await StrandedFleet.create(4);
  fleet.stranded.add(0);
  fleet.open(0);
  await fleet.advance(2_000);
  for (const target of ["/b/1", "/o/1"]) {
    const { answer } = fleet.open(0, { target, path: target });
    await fleet.advance(50);
    assert.equal(answer.outcome, "whole");
    assert.equal(answer.text, "ok");
  }
  fleet.stranded.delete(0);
  await fleet.advance(1_000);
  const { length } = fleet.relayed;
  const { answer } = fleet.open(0);
  await fleet.advance(50);
  assert.equal(answer.outcome, "whole");
  assert.equal(fleet.relayed.length, length, "back in reach");
});

test("requests go to nodes in reach only, and no further", async () => {
  const fleet = await StrandedFleet.create(4);
  for (const at of [0, 1, 2]) {
    fleet.stranded.add(at);
    fleet.open(at);
  }
  await fleet.advance(2_500);
  const before = fleet.relayed.length;
  const answers = Array.from({ length: 20 }, () => fleet.open(0).answer);
  await fleet.advance(100);
  assert.ok(answers.every(({ outcome }) => outcome === "whole"));
  assert.equal(fleet.relayed.length, before + 20);
});

test("with all nodes out of reach requests are not passed around", async () => {
  const fleet = await StrandedFleet.create(3);
  for (const at of [0, 1, 2]) {
    fleet.stranded.add(at);
    fleet.open(at);
  }
  await fleet.advance(3_000);
  const before = fleet.relayed.length;
  for (let i = 0; i < 10; i++) fleet.open(i % 3);
  await fleet.advance(4_000);
  assert.equal(fleet.relayed.length, before);
});

// The server may have got it before the cut: a second run is not allowed.
test("a request that may have run and must run once is not passed on", async () => {
  const fleet = await StrandedFleet.create(2);
  fleet.stranded.add(0);
  const { answer } = fleet.open(0, { target: "/o/1", path: "/o/1" });
  await fleet.advance(2_900);
  assert.equal(fleet.nodes[0]?.attempts.length, 1);
  assert.equal(fleet.relayed.length, 0);
  await fleet.advance(1_000);
  assert.notEqual(answer.refusal?.outcome, "not-run");
});

// The other node would count from nothing again, so that one request ran on more servers than its route allows.
test("a request that is passed on runs on no more servers than its route allows, both nodes counted", async () => {
  const fleet = await StrandedFleet.create(2);
  // Retries are earned by requests.
  for (let at = 0; at < 200; at++) fleet.open(at % 2);
  await fleet.advance(100);
  const countSends = () => fleet.nodes.map(({ attempts }) => attempts.length);
  const [first = 0, second = 0] = countSends();
  fleet.stranded.add(0);
  const { answer } = fleet.open(0);
  fleet.serve = (attempt) => attempt.fail("broken");
  await fleet.advance(3_000);
  const [atFirst = 0, atSecond = 0] = countSends();
  const sends = [atFirst - first, atSecond - second];
  assert.deepEqual(sends, [1, 1], "two attempts are allowed");
  assert.equal(answer.refusal?.code, "serviceBroken");
});

test("a lookup that waits for a server out of reach is passed on within 2 s", async () => {
  const fleet = await StrandedFleet.create(2);
  fleet.stranded.add(0);
  const { answer } = fleet.open(0);
  await fleet.advance(2_000);
  assert.equal(answer.outcome, "whole");
});

test("a caller that leaves ends its request at the other node", async () => {
  const fleet = await StrandedFleet.create(2);
  fleet.stranded.add(0);
  fleet.open(0);
  await fleet.advance(2_000);
  fleet.serve = () => {};
  const { control } = fleet.open(0);
  await fleet.advance(50);
  const attempt = fleet.nodes[1]?.lastAttempt();
  assert.equal(attempt?.cancelled, false);
  control.cancel();
  assert.equal(attempt?.cancelled, true);
});

// The origin would be that of the server of an earlier attempt, at which no event began.
test("a node does not record which server began a stream that came by way of another node", async () => {
  const fleet = await StrandedFleet.create(2);
  const messages: NodeMessage[] = [];
  fleet.onMessage = (message) => messages.push(message);
  const demand = createDemand("a1");
  const target = { target: "/s/1", path: "/s/1", demand };
  fleet.serve = (attempt) => attempt.answer("id: 1\n\n");
  fleet.stranded.add(0);
  const { answer } = fleet.open(0, { ...target, deadline: millis(8_000) });
  await fleet.advance(1_500);
  fleet.nodes[0]?.lastAttempt().fail("unreachable");
  await fleet.advance(500);
  assert.equal(answer.text, "id: 1\n\n");
  const told = messages.filter(
    ({ type, from }) => type === "stream" && from === "n0",
  );
  assert.equal(told.length, 0);
});

// Guards against requests that wait with credit, and are all passed on in one later window.
test("credit that has expired is taken again before a request is passed on", async () => {
  const quota = { unit: "requests", rate: 10, burst: 10 } as const;
  const organisations = createOrganisations(
    [
      createOrganisation("north", { quota: { ...quota, plainTokens: 0 } }),
      "n1",
    ],
    [createOrganisation("south"), "s1"],
  );
  const fleet = await StrandedFleet.create(2, organisations);
  await fleet.advance(3_000);
  fleet.serve = () => {};
  const deadline = millis(20_000);
  const waiting = { target: "/none/1", path: "/none/1", deadline };
  for (let round = 0; round < 4; round++) {
    for (let at = 0; at < 7; at++)
      fleet.open(0, { ...waiting, credential: createCredential("n1") });
    await fleet.advance(1_200);
  }
  fleet.stranded.add(0);
  fleet.open(0, { credential: createCredential("s1") });
  await fleet.advance(2_500);
  const passedOn = fleet.relayed.filter(({ path }) => path === "/none/1");
  const { length } = passedOn;
  assert.ok(length >= 5 && length <= 15, `${length} requests`);
});
