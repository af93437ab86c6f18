import { brandString } from "../core/ids.ts";
import { Callers } from "./callers.ts";
import { tableFaults } from "./faulty_table.ts";
import { InstallationSimulation } from "./installation_simulation.ts";
import {
  describeResult,
  isOneOf,
  parseDuration,
  parseStep,
  ScenarioError,
  type Step,
} from "./scenario_steps.ts";
import { type ServerFault, serverFaults } from "./simulated_server.ts";

/** Time after the last step in which everything must come to rest, in ms. */
const settlingTime = 60_000;

/** Runs one scenario; throws when it fails or a guarantee is broken. */
export async function runScenario(
  text: string,
  seed = 1,
): Promise<InstallationSimulation> {
  const world = new InstallationSimulation(seed);
  const runner = new ScenarioRunner(world);
  for (const [index, line] of text.split("\n").entries()) {
    try {
      await runner.run(line);
    } catch (error) {
      if (!(error instanceof ScenarioError)) throw error;
      throw new ScenarioError(`Line ${index + 1} "${line}": ${error.message}`);
    }
  }
  await runner.finish();
  return world;
}

/** Carries out the steps of a scenario on a world. */
export class ScenarioRunner {
  readonly #world: InstallationSimulation;
  readonly #callers: Callers;

  constructor(world: InstallationSimulation) {
    this.#world = world;
    this.#callers = new Callers(world);
  }

  /** Carries out one line; empty lines and comments do nothing. */
  async run(line: string): Promise<void> {
    const step = parseStep(line);
    if (step === undefined) return;
    const act = this.#verbs[step.verb];
    if (act === undefined) throw new ScenarioError("Unknown verb");
    await act(step);
    const [violation] = this.#world.oracle.violations;
    if (violation !== undefined) throw new ScenarioError(violation);
  }

  /** Ends all faults, waits until nothing moves, and checks the whole history. */
  async finish(): Promise<void> {
    this.#world.restore();
    await this.#world.advance(settlingTime);
    this.#world.oracle.checkHistory();
    this.#world.checkWeightStore();
    const { violations } = this.#world.oracle;
    if (violations.length > 0) {
      throw new ScenarioError(`At the end: ${violations.join("; ")}`);
    }
    for (const node of this.#world.nodes) {
      if (node.running) this.#world.kill(node);
    }
  }

  readonly #verbs: Record<string, (step: Step) => void | Promise<void>> = {
    start: ({ args: [name = "", region = "tatry"] }) => {
      if (this.#world.findRunningNode(name))
        throw new ScenarioError(`${name} runs`);
      this.#world.start(name, brandString(region));
    },
    // Starts the node unless it runs already.
    revive: ({ args: [name = "", region = "tatry"] }) => {
      if (!this.#world.findRunningNode(name)) {
        this.#world.start(name, brandString(region));
      }
    },
    book: (step) => this.#callers.book(step, "book"),
    lookup: (step) => this.#callers.book(step, "lookup"),
    request: (step) => this.#callers.request(step),
    burst: (step) => this.#burst(step),
    fail: (step) => this.#fail(step),
    poison: ({ args: [text = ""] }) => {
      this.#world.poisonTexts.add(text);
    },
    cut: ({ args: [first = "", second = ""] }) =>
      this.#world.setCut(first, second, true),
    leave: ({ args: [name = "", sign] }) =>
      this.#world.leave(name, sign === "refuses" ? "refuses" : "listed"),
    pause: ({ args: [name] }) => this.#withNode(name, "pause"),
    resume: ({ args: [name] }) => this.#withNode(name, "resume"),
    kill: ({ args: [name] }) => this.#withNode(name, "kill"),
    drain: ({ args: [name] }) => this.#withNode(name, "drain"),
    restore: (step) => this.#restore(step),
    advance: ({ args: [duration] }) =>
      this.#world.advance(parseDuration(duration)),
    expect: (step) => this.#expect(step),
  };

  #withNode(
    name: string | undefined,
    act: "pause" | "resume" | "kill" | "drain",
  ): void {
    const node = this.#world.findRunningNode(name ?? "");
    if (node !== undefined) this.#world[act](node);
  }

  async #burst(step: Step): Promise<void> {
    const [count, verb = "", ...words] = step.args;
    const act = this.#verbs[verb];
    if (act === undefined) throw new ScenarioError(`Unknown verb ${verb}`);
    for (let index = 0; index < Number(count); index++) {
      const key = step.options.get("key");
      const options = new Map(step.options);
      if (key !== undefined) options.set("key", `${key}${index}`);
      const label = step.label && `${step.label}${index}`;
      await act({ verb, args: words, options, label });
    }
  }

  #fail(step: Step): void {
    const [place = "", fault = "", node] = step.args;
    const world = this.#world;
    const server = world.servers.get(place);
    const engine = world.engines.find((one) => one.engine === place);
    if (place === "table" && isOneOf(tableFaults, fault)) {
      if (node === undefined) world.tableFault = fault;
      else world.nodeTableFaults.set(node, fault);
    } else if (server !== undefined && isOneOf(serverFaults, fault)) {
      server.fault = fault as ServerFault;
    } else if (engine !== undefined && fault === "crash") {
      engine.simulator.crash();
    } else if (engine !== undefined && fault === "silent") {
      engine.simulator.silenceStreams();
    } else if (engine !== undefined && fault === "slow") {
      engine.simulator.batch.slowdown = 5;
    } else {
      throw new ScenarioError(`No fault "${fault}" of "${place}"`);
    }
  }

  #restore(step: Step): void {
    const [place = "all", other] = step.args;
    const world = this.#world;
    if (place === "all") world.restore();
    else if (other !== undefined) world.setCut(place, other, false);
    else if (place === "table") world.tableFault = undefined;
    else {
      world.nodeTableFaults.delete(place);
      const server = world.servers.get(place);
      if (server !== undefined) server.fault = undefined;
      const engine = world.engines.find(({ engine }) => engine === place);
      if (engine !== undefined) engine.simulator.batch.slowdown = 1;
    }
  }

  #expect(step: Step): void {
    const [subject = "", wanted = "", third] = step.args;
    const actual = this.#observe(subject, wanted);
    const allowed = (third ?? wanted).split("|");
    if (!allowed.some((one) => actual.includes(one))) {
      throw new ScenarioError(`It is ${actual.join(", ")}`);
    }
  }

  /** Words that describe the subject of an expectation. */
  #observe(subject: string, name: string): readonly string[] {
    const world = this.#world;
    switch (subject) {
      case "runs":
        return [String(world.oracle.countRuns(name))];
      case "owner": {
        const owners = world.nodes.filter(
          (node) =>
            node.running &&
            node.node.session.owned().includes(brandString(name)),
        );
        return owners.length === 0 ? ["none"] : owners.map((node) => node.name);
      }
      case "node": {
        const node = world.nodes.findLast((one) => one.name === name);
        return [
          node?.stopped ? "stopped" : node?.killed ? "killed" : "running",
        ];
      }
      case "crashes": {
        const engine = world.engines.find((one) => one.engine === name);
        return [String(engine?.simulator.crashes)];
      }
      default:
        return describeResult(world.oracle.results.get(subject));
    }
  }
}
