import { millis } from "../core/clock.ts";
import type { Priority } from "../core/engine/work_item.ts";
import {
  type AdapterKey,
  brandString,
  type Customer,
  type Region,
} from "../core/ids.ts";
import {
  createRandom,
  createZipf,
  drawBetween,
  drawExponential,
} from "./random.ts";

/** One kind of request that a user sends. */
export type RequestKind = {
  readonly name: string;
  /** Relative frequency of the kind. */
  readonly share: number;
  readonly priority: Priority;
  /** Range of the number of tokens in the answer. */
  readonly tokens: { readonly from: number; readonly to: number };
  readonly promptBytes: number;
  /** Time limit for the first token, in ms. */
  readonly deadline: number;
  readonly long: boolean;
};

/** Regions, customers, adapters and kinds of requests of one installation. */
export type UserProfile = {
  readonly regions: readonly Region[];
  readonly customers: readonly Customer[];
  readonly adapters: number;
  /** Exponent of the Zipf distribution of adapter popularity. */
  readonly zipfExponent: number;
  readonly kinds: readonly RequestKind[];
};

/** One request of a workload; `at` is its arrival time in ms. */
export type Arrival = {
  readonly at: number;
  readonly adapter: AdapterKey;
  readonly customer: Customer;
  readonly region: Region;
  readonly kind: RequestKind;
  readonly tokens: number;
};

const rentalTerms: RequestKind = {
  name: "rental terms",
  share: 0.3,
  priority: "urgent",
  tokens: { from: 150, to: 400 },
  promptBytes: 600,
  deadline: 5_000,
  long: false,
};

const counterQuestion: RequestKind = {
  name: "counter question",
  share: 0.5,
  priority: "normal",
  tokens: { from: 50, to: 150 },
  promptBytes: 300,
  deadline: 8_000,
  long: false,
};

const summaryRequest: RequestKind = {
  name: "summary",
  share: 0.2,
  priority: "bulk",
  tokens: { from: 800, to: 2_000 },
  promptBytes: 8_000,
  deadline: 120_000,
  long: true,
};

function brandAll<Id extends Region | Customer>(names: string[]): Id[] {
  return names.map((name) => name as Id);
}

/** Wspólnota Łańcuchów Górskich: urgent terms, counter questions, long claims. */
export const chainHire: UserProfile = {
  regions: brandAll<Region>(["tatry", "beskidy", "sudety"]),
  customers: brandAll<Customer>(["firm-1", "firm-2", "firm-3", "firm-4"]),
  adapters: 3_000,
  zipfExponent: 1.6,
  kinds: [rentalTerms, counterQuestion, summaryRequest],
};

/** Saskatoon Civic Instrument Repair Utility: intake notes, care questions, histories. */
export const instrumentRepair: UserProfile = {
  regions: brandAll<Region>(["sask-north", "alberta-east", "manitoba-west"]),
  customers: brandAll<Customer>(["utility"]),
  adapters: 3_000,
  zipfExponent: 1.4,
  kinds: [
    {
      ...counterQuestion,
      name: "intake note",
      share: 0.4,
      tokens: { from: 100, to: 300 },
    },
    { ...counterQuestion, name: "care question", share: 0.4 },
    { ...summaryRequest, name: "repair history", promptBytes: 12_000 },
  ],
};

/** Returns the profile without its long requests. */
export function withoutLong(profile: UserProfile): UserProfile {
  return { ...profile, kinds: profile.kinds.filter(({ long }) => !long) };
}

/** Options of a generated workload. */
export type WorkloadOptions = {
  readonly seed: number;
  /** Mean number of requests per second. */
  readonly rate: number;
  /** Duration of the workload in ms. */
  readonly duration: number;
};

/** Generates the arrivals of a user as a Poisson process. */
export function createWorkload(
  profile: UserProfile,
  { seed, rate, duration }: WorkloadOptions,
): Arrival[] {
  const random = createRandom(seed);
  const drawRank = createZipf(
    { count: profile.adapters, exponent: profile.zipfExponent },
    random,
  );
  const arrivals: Arrival[] = [];
  let at = drawExponential(1_000 / rate, random);
  while (at < duration) {
    const kind = drawKind(profile.kinds, random);
    arrivals.push({
      at,
      adapter: createAdapterKey(drawRank()),
      customer: pick(profile.customers, random),
      region: pick(profile.regions, random),
      kind,
      tokens: drawBetween(kind.tokens, random),
    });
    at += drawExponential(1_000 / rate, random);
  }
  return arrivals;
}

/** Creates the key of the adapter with the given popularity rank. */
export function createAdapterKey(rank: number): AdapterKey {
  return brandString(`adapter-${rank}@1`);
}

function pick<Entry>(entries: readonly Entry[], random: () => number): Entry {
  return entries[Math.floor(random() * entries.length)] as Entry;
}

function drawKind(
  kinds: readonly RequestKind[],
  random: () => number,
): RequestKind {
  const total = kinds.reduce((sum, { share }) => sum + share, 0);
  let target = random() * total;
  for (const kind of kinds) {
    target -= kind.share;
    if (target < 0) return kind;
  }
  return kinds[kinds.length - 1] as RequestKind;
}

const bodyCache = new Map<string, Uint8Array>();

/** Returns the body of a request, cached by prompt size and answer length. */
export function createRequestBody({ kind, tokens }: Arrival): Uint8Array {
  const name = `${kind.promptBytes}/${tokens}`;
  let body = bodyCache.get(name);
  if (body === undefined) {
    const prompt = "x".repeat(kind.promptBytes);
    body = Buffer.from(JSON.stringify({ prompt, max_tokens: tokens }));
    bodyCache.set(name, body);
  }
  return body;
}

/** Computes the deadline for the first token of an arrival, on the simulated clock. */
export function computeDeadline(arrival: Arrival) {
  return millis(arrival.at + arrival.kind.deadline);
}
