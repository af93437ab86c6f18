import {
  type Cancel,
  type Clock,
  type Millis,
  millis,
} from "../../../core/clock.ts";
import {
  type CreditState,
  type ExchangePlan,
  QuotaAccount,
  type QuotaLevel,
} from "../../../core/gateway/quota_account.ts";
import { type CreditLot, sumLots } from "../../../core/gateway/quota_credit.ts";
import type { QuotaTerms } from "../../../core/gateway/quota_terms.ts";
import type { MachineName, OrganisationName } from "../../../core/ids.ts";
import type { CreditEntry, CreditMessage } from "../../../ports/quotas.ts";
import { type CreditLinks, packLots, unpackLots } from "./credit_links.ts";

/** Time that a request, or the node that asks for it, waits for credit, in ms. */
const claimPatience = millis(96);
/** Time after which a claim that was answered in part is asked for again, in ms. */
const askAgainDelay = millis(48);
/** Delay over which claims are put together into one message, in ms. */
const collectTime = millis(2);
/** Factor by which more is asked for than what waits needs, since credit expires on the way. */
const needMargin = 1.1;
/** Shortest time between two messages for claims, in ms. */
const minAskGap = 20;

/** Who waits for credit, and how much of it. */
type Claim = {
  /** Units that are missing. */
  units: number;
  /** Nothing less is of use. */
  readonly isWhole: boolean;
  /** The account above has been asked. */
  isAsked: boolean;
  /** Gets credit, or none if there will be none in time. */
  readonly settle: (lots: readonly CreditLot[] | undefined) => void;
  readonly cancel: Cancel;
};

/** What is sent to the account above of one organisation. */
type CreditPlan = ExchangePlan & {
  readonly organisation: OrganisationName;
  readonly need: number;
};

/** Level of the accounts above and below; nothing is below a node, which no one asks. */
const levelAbove: Record<QuotaLevel, QuotaLevel | undefined> = {
  node: "pool",
  pool: "root",
  root: undefined,
};
const levelBelow: Record<QuotaLevel, QuotaLevel> = {
  node: "node",
  pool: "node",
  root: "pool",
};

/** Credit that moved. */
export type CreditMove = "lent" | "borrowed";

type CreditHolderOptions = {
  readonly level: QuotaLevel;
  readonly clock: Clock;
  readonly links: CreditLinks;
  /** Nodes that may hold the accounts above, the first one that answers does; none for the pool of all. */
  readonly listAbove: () => readonly MachineName[];
  readonly findTerms: (name: OrganisationName) => QuotaTerms | undefined;
  /** Part of the rate that the account earns. */
  readonly findPart: () => number;
  readonly onMove?: (
    move: CreditMove,
    name: OrganisationName,
    units: number,
  ) => void;
  readonly onAbove?: (machine: MachineName | undefined) => void;
};

/** Accounts of all organisations at one level of this node, and their exchange with the levels above and below. */
export class CreditHolder {
  readonly #options: CreditHolderOptions;
  readonly #accounts = new Map<OrganisationName, QuotaAccount>();
  readonly #claims = new Map<OrganisationName, Claim[]>();
  #above: MachineName | undefined;
  #isAskDue = false;
  #askedAt = Number.NEGATIVE_INFINITY;

  private constructor(options: CreditHolderOptions) {
    this.#options = options;
  }

  static create(options: CreditHolderOptions): CreditHolder {
    return new CreditHolder(options);
  }

  /** Organisations with an account. */
  names(): OrganisationName[] {
    return [...this.#accounts.keys()];
  }

  /** Account of an organisation, with what the node has earned; undefined without a quota. */
  find(name: OrganisationName): QuotaAccount | undefined {
    const { clock, findPart, findTerms, level } = this.#options;
    const now = clock.now();
    const terms = findTerms(name);
    let account = this.#accounts.get(name);
    if (terms === undefined) {
      this.#accounts.delete(name);
      return undefined;
    }
    if (account === undefined) {
      account = QuotaAccount.create(level, terms, now);
      this.#accounts.set(name, account);
    }
    if (account.terms !== terms) account.update(terms);
    account.earn(findPart(), now);
    return account;
  }

  /** Takes the credit of a request, for which it waits a short time. */
  take(
    name: OrganisationName,
    units: number,
  ):
    | readonly CreditLot[]
    | undefined
    | Promise<readonly CreditLot[] | undefined> {
    const account = this.find(name);
    const now = this.#options.clock.now();
    if (account === undefined) return [];
    account.recordDemand(units, now);
    const lots = account.take(units, now);
    if (lots !== undefined || account.isDry(now)) return lots;
    return new Promise((resolve) => {
      const missing = account.findThreshold(units);
      this.#claim(name, {
        units: missing,
        isWhole: true,
        settle: (given) => resolve(given && account.take(units, this.#now())),
      });
    });
  }

  /** Lends what is left over and asks for what is missing. */
  exchange(names: Iterable<OrganisationName>): void {
    const above = this.#chooseAbove();
    const plans: CreditPlan[] = [];
    const mayLend = above !== undefined && this.#options.links.mayLend(above);
    let hasSurplus = false;
    for (const name of names) {
      const account = this.find(name);
      if (account === undefined || above === undefined) continue;
      const plan = account.plan(this.#now(), mayLend);
      if (plan.isHeldBack) hasSurplus = true;
      const need = this.#collectNeed(name);
      if (plan.lent.length === 0 && plan.ahead <= 0 && need <= 0) continue;
      plans.push({ ...plan, organisation: name, need });
    }
    if (above === undefined) return;
    // Without an answer to an empty message the node above gets no credit.
    if (plans.length > 0 || hasSurplus) this.#ask(above, plans);
  }

  receive(message: CreditMessage): void {
    if (message.isAsk) return this.#answer(message);
    const now = this.#now();
    for (const { organisation, lots, state } of message.entries) {
      const account = this.find(organisation);
      if (account === undefined) continue;
      const given = unpackLots(lots, now);
      account.receive(given, now);
      account.recordState(state, now);
      this.#options.onMove?.("borrowed", organisation, sumLots(given));
      this.#serve(organisation, account);
      if (account.isDry(now)) this.#endClaims(organisation);
    }
  }

  /** Gives back the credit of a request that has not run. */
  giveBack(name: OrganisationName, lots: readonly CreditLot[]): void {
    const account = this.find(name);
    if (account === undefined) return;
    account.receive(lots, this.#now());
    this.#serve(name, account);
  }

  #answer(message: CreditMessage): void {
    const { level, links } = this.#options;
    const now = this.#now();
    const below = { machine: message.from, level: levelBelow[level] };
    const entries: CreditEntry[] = [];
    for (const { organisation, lots, need, ahead } of message.entries) {
      const account = this.find(organisation);
      if (account === undefined) continue;
      account.receive(unpackLots(lots, now), now);
      const grant = account.grant({ need, ahead }, now);
      entries.push(this.#describe(organisation, grant.lots, grant.state));
      if (grant.unmet > 0 && level === "pool" && !account.isDry(now))
        this.#claimFor(below.machine, organisation, grant.unmet);
      if (lots.length > 0) this.#serve(organisation, account);
    }
    links.send(below.machine, { level: below.level, isAsk: false, entries });
  }

  /** Claims credit of the account above for a node that waits for it. */
  #claimFor(machine: MachineName, name: OrganisationName, units: number): void {
    const { level, links } = this.#options;
    this.#claim(name, {
      units,
      isWhole: false,
      settle: (lots) => {
        const state = lots === undefined ? "dry" : "some";
        const entries = [this.#describe(name, lots ?? [], state)];
        links.send(machine, {
          level: levelBelow[level],
          isAsk: false,
          entries,
        });
      },
    });
  }

  #claim(
    name: OrganisationName,
    options: Pick<Claim, "units" | "isWhole" | "settle">,
  ): void {
    const { clock } = this.#options;
    const claims = this.#claims.get(name) ?? [];
    this.#claims.set(name, claims);
    const cancels = [
      clock.schedule(claimPatience, () => this.#end(name, claim)),
      clock.schedule(askAgainDelay, () => this.#askAgain(claim)),
    ];
    const cancel = () => {
      for (const cancelTimer of cancels) cancelTimer();
    };
    const claim: Claim = { ...options, isAsked: false, cancel };
    claims.push(claim);
    this.#scheduleAsk();
  }

  /** The rest of a claim, which others may have come before. */
  #askAgain(claim: Claim): void {
    if (!claim.isWhole) return;
    claim.isAsked = false;
    this.#scheduleAsk();
  }

  #scheduleAsk(): void {
    if (this.#isAskDue) return;
    this.#isAskDue = true;
    const { clock } = this.#options;
    const gap = this.#askedAt + minAskGap - clock.now();
    clock.schedule(millis(Math.max(collectTime, gap)), () => {
      this.#isAskDue = false;
      this.exchange([...this.#claims.keys()]);
    });
  }

  #ask(above: MachineName, plans: readonly CreditPlan[]): void {
    const { level, links, onMove } = this.#options;
    const now = this.#now();
    this.#askedAt = now;
    const entries = plans.map(({ organisation, lent, need, ahead }) => {
      if (lent.length > 0) onMove?.("lent", organisation, sumLots(lent));
      const lots = packLots(lent, now);
      return { organisation, lots, need, ahead, state: "some" } as const;
    });
    const target = levelAbove[level] as QuotaLevel;
    links.send(above, { level: target, isAsk: true, entries });
  }

  /** Units of the claims for which the account above has not been asked yet. */
  #collectNeed(name: OrganisationName): number {
    const account = this.#accounts.get(name);
    let need = 0;
    for (const claim of this.#claims.get(name) ?? []) {
      if (claim.isAsked) continue;
      claim.isAsked = true;
      need += claim.units;
    }
    const balance = Math.max(0, account?.balance(this.#now()) ?? 0);
    return Math.max(0, need * needMargin - balance);
  }

  /** Settles the claims that the credit suffices for. */
  #serve(name: OrganisationName, account: QuotaAccount): void {
    for (const claim of [...(this.#claims.get(name) ?? [])]) {
      const now = this.#now();
      const balance = account.balance(now);
      if (balance <= 0) return;
      if (claim.isWhole && balance < claim.units) continue;
      if (claim.isWhole) {
        this.#remove(name, claim);
        claim.settle([]);
        continue;
      }
      const { lots, unmet } = account.grant(
        { need: claim.units, ahead: 0 },
        now,
      );
      claim.units = unmet;
      claim.settle(lots);
      if (unmet <= 0) this.#remove(name, claim);
    }
  }

  /** Ends the claims that the account above has nothing for. */
  #endClaims(name: OrganisationName): void {
    for (const claim of [...(this.#claims.get(name) ?? [])])
      this.#end(name, claim);
  }

  #end(name: OrganisationName, claim: Claim): void {
    this.#remove(name, claim);
    claim.settle(undefined);
  }

  #remove(name: OrganisationName, claim: Claim): void {
    claim.cancel();
    const rest = this.#claims.get(name)?.filter((other) => other !== claim);
    if (rest === undefined || rest.length === 0) this.#claims.delete(name);
    else this.#claims.set(name, rest);
  }

  #chooseAbove(): MachineName | undefined {
    const { links, listAbove, onAbove } = this.#options;
    const above = links.choose(listAbove());
    if (above !== this.#above) onAbove?.(above);
    this.#above = above;
    return above;
  }

  #describe(
    organisation: OrganisationName,
    lots: readonly CreditLot[],
    state: CreditState,
  ): CreditEntry {
    const sent = packLots(lots, this.#now());
    return { organisation, lots: sent, need: 0, ahead: 0, state };
  }

  #now(): Millis {
    return this.#options.clock.now();
  }
}
