import fc from "fast-check";
import { tableFaults } from "./faulty_table.ts";
import { simulatedServers } from "./installation_simulation.ts";
import { simulatedAdapters } from "./simulated_catalog.ts";
import { serverFaults } from "./simulated_server.ts";

/** Nodes of the fuzzed world and their regions. */
const nodes = {
  a: "tatry",
  b: "tatry",
  c: "tatry",
  d: "beskidy",
  e: "beskidy",
  f: "sudety",
} as const;
const engines = [
  "tatry-checked",
  "tatry-ignored",
  "beskidy-checked",
  "beskidy-ignored",
  "sudety-checked",
  "sudety-ignored",
] as const;
const regions = ["tatry", "beskidy", "sudety"] as const;

/** Steps that every fuzzed scenario begins with. */
export const preamble: readonly string[] = [
  ...Object.entries(nodes).map(([name, region]) => `start ${name} ${region}`),
  "advance 12s",
];

const node = fc.constantFrom(...(Object.keys(nodes) as (keyof typeof nodes)[]));
const key = fc.integer({ min: 0, max: 39 }).map((index) => `k${index}`);
const within = fc.constantFrom("200ms", "1s", "5s", "20s");

const calls = fc.oneof(
  {
    weight: 6,
    arbitrary: fc
      .tuple(node, key, within)
      .map(([at, name, time]) => `book ${at} key=${name} within=${time}`),
  },
  {
    weight: 1,
    arbitrary: fc
      .tuple(node, key)
      .map(([at, name]) => `book ${at} key=${name} body=other`),
  },
  {
    weight: 2,
    arbitrary: fc
      .tuple(node, within)
      .map(([at, time]) => `book ${at} within=${time}`),
  },
  {
    weight: 2,
    arbitrary: fc
      .tuple(node, within)
      .map(([at, time]) => `lookup ${at} within=${time}`),
  },
  {
    weight: 5,
    arbitrary: fc
      .tuple(
        node,
        fc.constantFrom(...simulatedAdapters),
        fc.constantFrom(1, 8, 60, 300),
        within,
      )
      .map(
        ([at, model, tokens, time]) =>
          `request ${at} model=${model} tokens=${tokens} within=${time}`,
      ),
  },
  {
    weight: 1,
    arbitrary: node.map((at) => `request ${at} text=boom within=5s`),
  },
  {
    weight: 1,
    arbitrary: node.map((at) => `burst 8 request ${at} tokens=40 within=20s`),
  },
);

const waits = fc.oneof(
  {
    weight: 8,
    arbitrary: fc
      .integer({ min: 0, max: 30 })
      .map((time) => `advance ${time}ms`),
  },
  {
    weight: 4,
    arbitrary: fc
      .integer({ min: 50, max: 900 })
      .map((time) => `advance ${time}ms`),
  },
  {
    weight: 1,
    arbitrary: fc
      .integer({ min: 1, max: 12 })
      .map((time) => `advance ${time}s`),
  },
);

const tableSteps = fc.oneof(
  fc.constantFrom(...tableFaults).map((fault) => `fail table ${fault}`),
  fc
    .tuple(fc.constantFrom(...tableFaults), node)
    .map(([fault, at]) => `fail table ${fault} ${at}`),
  { weight: 3, arbitrary: fc.constant("restore table") },
  node.map((at) => `restore ${at}`),
);

const serverSteps = fc.oneof(
  fc
    .tuple(
      fc.constantFrom(...simulatedServers),
      fc.constantFrom(...serverFaults.filter((fault) => fault !== "leaving")),
    )
    .map(([server, fault]) => `fail ${server} ${fault}`),
  {
    weight: 2,
    arbitrary: fc
      .constantFrom(...simulatedServers)
      .map((server) => `restore ${server}`),
  },
  fc.constant("leave s0 listed"),
);

const engineSteps = fc.oneof(
  fc.constant("poison boom"),
  fc
    .tuple(
      fc.constantFrom(...engines),
      fc.constantFrom("crash", "silent", "slow"),
    )
    .map(([engine, fault]) => `fail ${engine} ${fault}`),
  fc.constantFrom(...engines).map((engine) => `restore ${engine}`),
);

const nodeSteps = fc.oneof(
  { weight: 2, arbitrary: node.map((at) => `pause ${at}`) },
  { weight: 4, arbitrary: node.map((at) => `resume ${at}`) },
  { weight: 1, arbitrary: node.map((at) => `kill ${at}`) },
  { weight: 1, arbitrary: node.map((at) => `drain ${at}`) },
  { weight: 4, arbitrary: node.map((at) => `revive ${at} ${nodes[at]}`) },
);

const networkSteps = fc.oneof(
  fc
    .tuple(fc.constantFrom(...regions), fc.constantFrom(...regions))
    .map(([from, to]) => `cut ${from} ${to}`),
  fc
    .tuple(node, fc.constantFrom("table", "s0", "s1", ...engines))
    .map(([at, place]) => `cut ${at} ${place}`),
  { weight: 3, arbitrary: fc.constant("restore all") },
);

/** One random step: mostly calls and short waits, now and then a fault or its end. */
export const stepArbitrary: fc.Arbitrary<string> = fc.oneof(
  { weight: 50, arbitrary: calls },
  { weight: 25, arbitrary: waits },
  { weight: 4, arbitrary: tableSteps },
  { weight: 4, arbitrary: serverSteps },
  { weight: 3, arbitrary: engineSteps },
  { weight: 5, arbitrary: nodeSteps },
  { weight: 3, arbitrary: networkSteps },
);
