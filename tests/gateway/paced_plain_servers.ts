import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { type Millis, millis } from "../../src/core/clock.ts";
import {
  chooseLeastCost,
  excludeServers,
} from "../../src/core/gateway/choose_server.ts";
import {
  chooseShortestRun,
  type PlainServerPolicy,
} from "../../src/core/gateway/plain_server_choice.ts";
import {
  estimateDistance,
  type NodeLocation,
} from "../../src/core/gateway/server_distance.ts";
import {
  countInFlight,
  createServerHealth,
  recordCallEnd,
  recordCallResult,
  recordCallStart,
  type ServerHealth,
} from "../../src/core/gateway/server_health.ts";
import {
  type CallLedgers,
  type OverloadView,
  recordCalls,
  recordOverload,
} from "../../src/core/gateway/server_overload.ts";
import {
  createPaceTable,
  endCall,
  learnRun,
  type PaceTable,
  startCall,
} from "../../src/core/gateway/server_pace.ts";
import {
  type FullServers,
  isFull,
  recordNoRoom,
  recordRoom,
} from "../../src/core/gateway/server_room.ts";
import type { BackendServer } from "../../src/core/gateway/servers.ts";
import {
  brandString,
  type MachineName,
  type ServerId,
} from "../../src/core/ids.ts";
import { PlainServer } from "./paced_plain_server.ts";
import { createServer, dataCentres, locate } from "./paced_servers.ts";

/** Times between the spells of slowness of one server, and their length, in ms. */
const spellInterval = 5_000;
const spellLength = 600;
/** Tries of one request. */
const maxTries = 4;

/** A policy, and how it handles rejections. */
export type PlainPolicy = {
  readonly choose: PlainServerPolicy;
  readonly onRejection: (
    node: { readonly health: ServerHealth; readonly full: FullServers },
    server: BackendServer,
    moment: { readonly now: Millis; readonly share: number },
  ) => void;
  /** Whether nodes tell of their requests at servers. */
  readonly tells: boolean;
};

/** Own calls in flight alone, and a rejection as a failure. */
export const ownCalls: PlainPolicy = {
  choose: chooseLeastCost,
  onRejection: ({ health }, { id }, { now }) =>
    recordCallResult(health, id, { result: "bad", now }),
  tells: false,
};

/** Expected time to the answer, and a hold after a rejection. */
export const shortestRun: PlainPolicy = {
  choose: chooseShortestRun,
  onRejection: ({ health, full }, server, moment) => {
    recordNoRoom(full, server, moment);
    recordCallResult(health, server.id, { result: "full", now: moment.now });
  },
  tells: true,
};

type PlainLoad = {
  readonly nodes: number;
  readonly slots: number;
  /** Mean time of a run, in ms. */
  readonly runTime: number;
  /** Requests a second in each data centre at a time. */
  readonly rate: (dataCentre: number, at: number) => number;
  /** Factor by which runs are longer in a spell. */
  readonly spell: number;
  readonly duration: number;
};

/** What callers and servers saw. */
export type PlainResult = {
  /** Share of the arrivals at servers that were rejected. */
  readonly rejected: number;
  /** Share of the arrivals that were rejected while another server had room. */
  readonly misplaced: number;
  readonly mean: number;
  readonly p95: number;
  readonly p99: number;
  /** Share of requests that ran in another region. */
  readonly spilled: number;
  /** Datagrams a second that each node sends. */
  readonly datagrams: number;
};

type PlainNode = {
  readonly machine: MachineName;
  readonly location: NodeLocation;
  readonly health: ServerHealth;
  readonly full: FullServers;
  readonly paces: PaceTable;
  readonly overloads: OverloadView;
};

/** Runs nodes before servers without models, each slow for spells, on virtual time. */
export class PlainFleet {
  readonly #clock = VirtualClock.create();
  readonly #random = createSeededRandom(3);
  readonly #load: PlainLoad;
  readonly #policy: PlainPolicy;
  readonly #servers: readonly PlainServer[];
  readonly #nodes: readonly PlainNode[];
  readonly #times: number[] = [];
  #arrivals = 0;
  #rejections = 0;
  #misplaced = 0;
  #spilled = 0;
  #datagrams = 0;
  readonly #ledgers: CallLedgers = new Map();

  private constructor(policy: PlainPolicy, load: PlainLoad) {
    this.#policy = policy;
    this.#load = load;
    this.#servers = dataCentres.map((dataCentre, index) => {
      const { slots } = load;
      const server = createServer(`p${index}`, { slots, dataCentre });
      const phase = this.#random() * spellInterval;
      return new PlainServer(this.#clock, server, () => this.#draw(phase));
    });
    this.#nodes = Array.from({ length: load.nodes }, (_, index) => ({
      machine: brandString(`n${index}`),
      location: locate(index % dataCentres.length),
      health: createServerHealth(),
      full: new Map(),
      paces: createPaceTable(),
      overloads: new Map(),
    }));
  }

  static run(policy: PlainPolicy, load: PlainLoad): PlainResult {
    const fleet = new PlainFleet(policy, load);
    for (const index of dataCentres.keys()) fleet.#arrive(index);
    fleet.#clock.advanceSync(millis(load.duration));
    return fleet.#summarize();
  }

  #draw(phase: number): number {
    const { runTime, spell } = this.#load;
    const isSlow = (this.#clock.now() + phase) % spellInterval < spellLength;
    const usual = runTime * (0.6 + 0.8 * this.#random());
    return isSlow ? usual * spell : usual;
  }

  #arrive(dataCentre: number): void {
    const rate = this.#load.rate(dataCentre, this.#clock.now());
    const gap = (-Math.log(1 - this.#random()) * 1_000) / rate;
    this.#clock.schedule(millis(gap), () => this.#arrive(dataCentre));
    const local = Math.ceil(this.#nodes.length / dataCentres.length);
    const index =
      dataCentre + dataCentres.length * Math.floor(this.#random() * local);
    const node = this.#nodes[index] ?? this.#nodes[dataCentre];
    this.#send(node as PlainNode, new Set(), this.#clock.now());
  }

  #send(node: PlainNode, tried: Set<ServerId>, arrivedAt: number): void {
    const now = this.#clock.now();
    const servers = this.#servers.map(({ server }) => server);
    const random = this.#random;
    const untried = excludeServers(servers, tried);
    const open = untried.filter((server) => !isFull(node.full, server, now));
    const candidates = open.length > 0 ? open : untried;
    const chosen = this.#policy.choose(candidates, {
      ...node.location,
      health: node.health,
      paces: node.paces,
      overloads: node.overloads,
      now,
      random,
    });
    const plain = this.#servers.find(({ server }) => server === chosen);
    if (plain === undefined) return;
    const { server } = plain;
    const { id } = server;
    const way = estimateDistance(server, node.location);
    const call = startCall(node.paces, id, now);
    recordCallStart(node.health, id);
    this.#report(node, server);
    const end = () => {
      endCall(node.paces, call);
      recordCallEnd(node.health, id);
      this.#report(node, server);
    };
    this.#clock.schedule(millis(way / 2), () => {
      this.#arrivals++;
      if (!plain.hasRoom) {
        this.#rejections++;
        if (this.#servers.some(({ hasRoom }) => hasRoom)) this.#misplaced++;
        this.#clock.schedule(millis(way / 2), () => {
          end();
          const at = this.#clock.now();
          const moment = { now: at, share: random() };
          this.#policy.onRejection(node, server, moment);
          tried.add(id);
          if (tried.size < maxTries) this.#send(node, tried, arrivedAt);
        });
        return;
      }
      plain.run(() =>
        this.#clock.schedule(millis(way / 2), () => {
          end();
          this.#recordAnswer(node, server, { sentAt: now, arrivedAt, way });
        }),
      );
    });
  }

  /** Tells the node that keeps count of a server; it stands beside the server. */
  #report(node: PlainNode, server: BackendServer): void {
    if (!this.#policy.tells) return;
    this.#datagrams++;
    const report = {
      from: node.machine,
      calls: countInFlight(node.health, server.id),
      nodes: this.#nodes.length,
    };
    this.#deliver(node, server, (now) => {
      const overload = recordCalls(this.#ledgers, server, { ...report, now });
      if (overload === undefined) return;
      for (const other of this.#nodes) {
        this.#datagrams++;
        this.#deliver(other, server, (at) =>
          recordOverload(other.overloads, overload, at),
        );
      }
    });
  }

  /** Passes a message between a node and one beside a server. */
  #deliver(
    { location }: PlainNode,
    server: BackendServer,
    receive: (now: Millis) => void,
  ): void {
    const delay = 0.5 + estimateDistance(server, location) / 2;
    this.#clock.schedule(millis(delay), () => receive(this.#clock.now()));
  }

  #recordAnswer(
    node: PlainNode,
    server: BackendServer,
    { sentAt, arrivedAt, way }: Record<"sentAt" | "arrivedAt" | "way", number>,
  ): void {
    const now = this.#clock.now();
    this.#times.push(now - arrivedAt);
    const region = node.location.regionOf(server.dataCentre);
    if (region !== node.location.region) this.#spilled++;
    recordCallResult(node.health, server.id, { result: "good", now });
    recordRoom(node.full, server.id);
    const runTime = millis(now - sentAt - way);
    learnRun(node.paces, server, { answerTokens: 0, runTime, now });
  }

  #summarize(): PlainResult {
    const times = this.#times.sort((a, b) => a - b);
    const at = (share: number) => times[Math.floor(times.length * share)] ?? 0;
    return {
      rejected: this.#rejections / this.#arrivals,
      misplaced: this.#misplaced / this.#arrivals,
      mean: times.reduce((sum, time) => sum + time, 0) / times.length,
      p95: at(0.95),
      p99: at(0.99),
      datagrams:
        (this.#datagrams * 1_000) / this.#load.duration / this.#load.nodes,
      spilled: this.#spilled / times.length,
    };
  }
}
