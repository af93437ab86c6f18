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

/** Kind of request of one user. */
export type RequestKind = {
  readonly name: string;
  readonly share: number;
  readonly priority: Priority;
  /** Range of the number of tokens in the answer. */
  readonly tokens: { readonly from: number; readonly to: number };
  readonly promptBytes: number;
  /** Longest wait for the first token, in ms. */
  readonly deadline: number;
  readonly long: boolean;
};

/** Who sends what, for one installation. */
export type UserProfile = {
  readonly regions: readonly Region[];
  readonly customers: readonly Customer[];
  readonly adapters: number;
  /** Exponent of the Zipf law of adapter popularity. */
  readonly zipfExponent: number;
  readonly kinds: readonly RequestKind[];
};

/** One request of a workload. */
export type Arrival = {
  readonly at: number;
  readonly adapter: AdapterKey;
  readonly customer: Customer;
  readonly region: Region;
  readonly kind: RequestKind;
  readonly tokens: number;
};

const terms: RequestKind = {
  name: "rental terms",
  share: 0.3,
  priority: "urgent",
  tokens: { from: 150, to: 400 },
  promptBytes: 600,
  deadline: 5_000,
  long: false,
};

const question: RequestKind = {
  name: "counter question",
  share: 0.5,
  priority: "normal",
  tokens: { from: 50, to: 150 },
  promptBytes: 300,
  deadline: 8_000,
  long: false,
};

const summary: RequestKind = {
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
  kinds: [terms, question, summary],
};

/** Saskatoon Civic Instrument Repair Utility: intake notes, care questions, histories. */
export const instrumentRepair: UserProfile = {
  regions: brandAll<Region>(["sask-north", "alberta-east", "manitoba-west"]),
  customers: brandAll<Customer>(["utility"]),
  adapters: 3_000,
  zipfExponent: 1.4,
  kinds: [
    {
      ...question,
      name: "intake note",
      share: 0.4,
      tokens: { from: 100, to: 300 },
    },
    { ...question, name: "care question", share: 0.4 },
    { ...summary, name: "repair history", promptBytes: 12_000 },
  ],
};

/** Same users without their long requests. */
export function withoutLong(profile: UserProfile): UserProfile {
  return { ...profile, kinds: profile.kinds.filter(({ long }) => !long) };
}

/** Options of a generated workload. */
export type WorkloadOptions = {
  readonly seed: number;
  /** Requests a second on average. */
  readonly rate: number;
  /** Length in ms. */
  readonly duration: number;
};

/** Draws independent arrivals of a user. */
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

/** Key of the adapter with a popularity rank. */
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

const bodies = new Map<string, Uint8Array>();

/** Body of a request; equal for equal kinds and lengths. */
export function createRequestBody({ kind, tokens }: Arrival): Uint8Array {
  const name = `${kind.promptBytes}/${tokens}`;
  let body = bodies.get(name);
  if (body === undefined) {
    const prompt = "x".repeat(kind.promptBytes);
    body = Buffer.from(JSON.stringify({ prompt, max_tokens: tokens }));
    bodies.set(name, body);
  }
  return body;
}

/** Deadline of the first token of an arrival, on the simulated clock. */
export function computeDeadline(arrival: Arrival) {
  return millis(arrival.at + arrival.kind.deadline);
}
