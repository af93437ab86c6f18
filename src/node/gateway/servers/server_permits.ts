import { type Clock, type Millis, millis, sleep } from "../../../core/clock.ts";
import {
  createRateAllocation,
  type RateAllocation,
  takeFromAllocation,
} from "../../../core/gateway/rate_allocation.ts";
import type { Incarnation } from "../../../core/gateway/servers.ts";
import type { MachineName, ServerId } from "../../../core/ids.ts";
import { rankByRendezvous } from "../../../core/lease/rendezvous.ts";
import type { Meter } from "../../../ports/journal.ts";
import type { NodeLinks } from "../../../ports/nodes.ts";
import type { PermitAnswer, PermitRequest } from "../../../ports/permits.ts";
import type { PeerContacts } from "../peers/peer_contacts.ts";
import type { LimitTracker } from "./limit_tracker.ts";

/** Time from its grant in which a permit must be used, in ms. */
const permitLifetime = 400;
/**
 * Time after the start or a pause of the process in which it gives out no
 * permits, in ms: other nodes may not know it yet, or have replaced it.
 */
const handoverTime = 3_000;
/**
 * Time in which a node must answer a request for a permit, and one that another
 * node has passed on and waits for, in ms.
 */
const callTimeout = millis(400);
const forwardTimeout = millis(180);
/** Delay before a permit is requested again after the node that gives them out did not answer, in ms. */
const unansweredDelay = millis(300);
/** Maximum number of nodes one after another that a request passes over. */
const maxSkipped = 3;
/** Interval at which a node that did not answer is asked again before another one replaces it, in ms. */
const probeInterval = 1_000;

/** Right to send one request to a server. */
export type Permit =
  /** The server has no limit. */
  | { readonly kind: "not-needed" }
  | { readonly kind: "granted"; readonly until: Millis }
  | { readonly kind: "denied" };

/** Takes the right to send one request to a server, and waits for it up to `patience` ms. */
export type TakePermit = (
  server: Incarnation,
  patience: Millis,
) => Promise<Permit>;

type ServerPermitsOptions = {
  readonly machine: MachineName;
  readonly clock: Clock;
  readonly random: () => number;
  readonly meter: Meter;
  readonly limits: LimitTracker;
  readonly contacts: PeerContacts;
  readonly nodeLinks: NodeLinks;
  /** All nodes, this one included; undefined until they are known. */
  readonly listMachines: () => readonly MachineName[] | undefined;
  readonly findAddress: (machine: MachineName) => string | undefined;
};

type Allocation = RateAllocation & { readonly born: number | undefined };

/**
 * Permits to send requests to servers that limit them. For each server one node
 * gives them out to all: the first in rendezvous order that answers.
 */
export class ServerPermits {
  readonly #options: ServerPermitsOptions;
  readonly #allocations = new Map<ServerId, Allocation>();
  readonly #probedAt = new Map<MachineName, Millis>();
  #grantsFrom: Millis;

  private constructor(options: ServerPermitsOptions) {
    this.#options = options;
    this.#grantsFrom = millis(options.clock.now() + handoverTime);
  }

  static create(options: ServerPermitsOptions): ServerPermits {
    return new ServerPermits(options);
  }

  readonly take: TakePermit = async (server, patience) => {
    const { clock, limits, machine: from, random } = this.#options;
    const limit = limits.find(server);
    if (limit === undefined) return { kind: "not-needed" };
    if (limits.findDenialEnd(server) !== undefined) return { kind: "denied" };
    const { id, born } = server;
    const { rate, observedAt } = limit;
    const age = millis(clock.now() - observedAt);
    const limited = { from, server: { id, born }, rate, age };
    const answer = await this.request({ ...limited, patience, except: [] });
    this.#options.meter.count("server_permits_total", { result: answer.kind });
    switch (answer.kind) {
      case "granted":
        if (answer.inMs > 0) await sleep(clock, answer.inMs);
        return { kind: "granted", until: millis(clock.now() + permitLifetime) };
      case "ended": {
        const news = { rate: undefined, observedAt: this.#toTime(answer.age) };
        limits.recordNews(server, news, "allocator");
        return limits.find(server) === undefined
          ? { kind: "not-needed" }
          : { kind: "denied" };
      }
      case "denied": {
        // The nodes that wait for the same permit do not all return for it at once.
        const nodes = this.#options.listMachines()?.length ?? 1;
        const spread = (random() * 1_000 * (1 - 1 / nodes)) / rate;
        const duration = millis(answer.retryIn + Math.min(1_000, spread));
        limits.recordDenial(server, duration);
        return { kind: "denied" };
      }
    }
  };

  /** Answers a request from the allocation of this node, or passes it on to the node that has it. */
  async request(request: PermitRequest): Promise<PermitAnswer> {
    const { machine: own, contacts, listMachines } = this.#options;
    const denied: PermitAnswer = { kind: "denied", retryIn: unansweredDelay };
    const machines = listMachines();
    if (machines === undefined) return denied;
    const { server, except } = request;
    const candidates = machines.filter((machine) => !except.includes(machine));
    let next = request;
    for (const machine of rankByRendezvous(server.id, candidates)) {
      if (machine === own) {
        const wait = millis(this.#grantsFrom - this.#options.clock.now());
        if (wait <= 0) return this.#allocate(request);
        // Until then the node that would be next has the allocation.
        if (except.length >= maxSkipped)
          return { kind: "denied", retryIn: wait };
        next = { ...request, except: [...except, own] };
        continue;
      }
      if (contacts.isUnresponsive(machine) && !this.#takeProbe(machine))
        continue;
      const answer = await this.#ask(machine, next);
      if (answer !== undefined) return answer;
      if (!contacts.isUnresponsive(machine)) return denied;
    }
    return denied;
  }

  /** Gives out no permits for a time; called after a pause of the process. */
  postpone(): void {
    this.#grantsFrom = millis(this.#options.clock.now() + handoverTime);
  }

  /** Removes the allocations of servers that are gone. */
  removeGone(isKnown: (id: ServerId) => boolean): void {
    for (const id of this.#allocations.keys())
      if (!isKnown(id)) this.#allocations.delete(id);
  }

  #allocate(request: PermitRequest): PermitAnswer {
    const { clock, limits } = this.#options;
    const now = clock.now();
    const { server, from, patience } = request;
    const news = { rate: request.rate, observedAt: this.#toTime(request.age) };
    limits.recordNews(server, news, from);
    const observed = limits.findLast(server);
    const rate = observed === undefined ? request.rate : observed.rate;
    if (observed !== undefined && rate === undefined)
      return { kind: "ended", age: millis(now - observed.observedAt) };
    const allocation = this.#obtainAllocation(server, now);
    const limit = { rate: rate ?? request.rate, patience };
    return takeFromAllocation(allocation, limit, now);
  }

  #obtainAllocation({ id, born }: Incarnation, now: Millis): Allocation {
    const known = this.#allocations.get(id);
    if (known !== undefined && known.born === born) return known;
    const created = { ...createRateAllocation(now), born };
    this.#allocations.set(id, created);
    return created;
  }

  async #ask(
    machine: MachineName,
    request: PermitRequest,
  ): Promise<PermitAnswer | undefined> {
    const { contacts, nodeLinks, findAddress } = this.#options;
    const address = findAddress(machine);
    if (address === undefined) return undefined;
    contacts.recordRequest(machine);
    const { machine: own } = this.#options;
    const timeout = request.from === own ? callTimeout : forwardTimeout;
    const answer = await nodeLinks.requestPermit(address, request, timeout);
    if (answer !== undefined) contacts.recordContact(machine);
    return answer;
  }

  /** Whether a node that did not answer is to be asked again now. */
  #takeProbe(machine: MachineName): boolean {
    const now = this.#options.clock.now();
    const probedAt = this.#probedAt.get(machine) ?? Number.NEGATIVE_INFINITY;
    if (now < probedAt + probeInterval) return false;
    this.#probedAt.set(machine, now);
    return true;
  }

  #toTime(age: Millis): Millis {
    return millis(this.#options.clock.now() - age);
  }
}
