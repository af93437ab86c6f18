import fc from "fast-check";
import { tableFaults } from "./faulty_table.ts";
import { simulatedServers } from "./installation_simulation.ts";
import { simulatedAdapters } from "./simulated_catalog.ts";
import { type ServerFault, serverFaults } from "./simulated_server.ts";

/** Nodes of the random scenarios and their regions. */
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

/** Steps that every random scenario begins with. */
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
      .map(
        ([nodeName, keyName, time]) =>
          `book ${nodeName} key=${keyName} within=${time}`,
      ),
  },
  {
    weight: 1,
    arbitrary: fc
      .tuple(node, key)
      .map(
        ([nodeName, keyName]) => `book ${nodeName} key=${keyName} body=other`,
      ),
  },
  {
    weight: 2,
    arbitrary: fc
      .tuple(node, within)
      .map(([nodeName, time]) => `book ${nodeName} within=${time}`),
  },
  {
    weight: 2,
    arbitrary: fc
      .tuple(node, within)
      .map(([nodeName, time]) => `lookup ${nodeName} within=${time}`),
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
        ([nodeName, model, tokens, time]) =>
          `request ${nodeName} model=${model} tokens=${tokens} within=${time}`,
      ),
  },
  {
    weight: 1,
    arbitrary: node.map(
      (nodeName) => `request ${nodeName} text=boom within=5s`,
    ),
  },
  {
    weight: 1,
    arbitrary: node.map(
      (nodeName) => `burst 8 request ${nodeName} tokens=40 within=20s`,
    ),
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
    .map(([fault, nodeName]) => `fail table ${fault} ${nodeName}`),
  { weight: 3, arbitrary: fc.constant("restore table") },
  node.map((nodeName) => `restore ${nodeName}`),
);

/** Whether a server with this fault leaves for good. */
function isForGood(fault: ServerFault): boolean {
  return fault === "leaving" || fault === "announcing";
}

const serverSteps = fc.oneof(
  fc
    .tuple(
      fc.constantFrom(...simulatedServers),
      fc.constantFrom(...serverFaults.filter((fault) => !isForGood(fault))),
    )
    .map(([server, fault]) => `fail ${server} ${fault}`),
  {
    weight: 2,
    arbitrary: fc
      .constantFrom(...simulatedServers)
      .map((server) => `restore ${server}`),
  },
  fc.constant("leave s0 listed"),
  fc.constant("leave s1 announced"),
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
  { weight: 2, arbitrary: node.map((nodeName) => `pause ${nodeName}`) },
  { weight: 4, arbitrary: node.map((nodeName) => `resume ${nodeName}`) },
  { weight: 1, arbitrary: node.map((nodeName) => `kill ${nodeName}`) },
  { weight: 1, arbitrary: node.map((nodeName) => `drain ${nodeName}`) },
  {
    weight: 4,
    arbitrary: node.map((nodeName) => `revive ${nodeName} ${nodes[nodeName]}`),
  },
);

const networkSteps = fc.oneof(
  fc
    .tuple(fc.constantFrom(...regions), fc.constantFrom(...regions))
    .map(([from, to]) => `cut ${from} ${to}`),
  fc
    .tuple(node, fc.constantFrom("table", "s0", "s1", ...engines))
    .map(([nodeName, endpoint]) => `cut ${nodeName} ${endpoint}`),
  { weight: 3, arbitrary: fc.constant("restore all") },
);

/** One random step: mostly calls and short waits, sometimes a fault or its end. */
export const stepArbitrary: fc.Arbitrary<string> = fc.oneof(
  { weight: 50, arbitrary: calls },
  { weight: 25, arbitrary: waits },
  { weight: 4, arbitrary: tableSteps },
  { weight: 4, arbitrary: serverSteps },
  { weight: 3, arbitrary: engineSteps },
  { weight: 5, arbitrary: nodeSteps },
  { weight: 3, arbitrary: networkSteps },
);
