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

/** Time after the last step in which all calls and retries must end, in ms. */
const quiescenceTime = 60_000;

/** Runs one scenario; throws when an expectation fails or a guarantee is violated. */
export async function runScenario(
  text: string,
  seed = 1,
): Promise<InstallationSimulation> {
  const simulation = new InstallationSimulation(seed);
  const runner = new ScenarioRunner(simulation);
  for (const [index, line] of text.split("\n").entries()) {
    try {
      await runner.run(line);
    } catch (error) {
      if (!(error instanceof ScenarioError)) throw error;
      throw new ScenarioError(`Line ${index + 1} "${line}": ${error.message}`);
    }
  }
  await runner.finish();
  return simulation;
}

/** Runs the steps of a scenario on a simulated installation. */
export class ScenarioRunner {
  readonly #simulation: InstallationSimulation;
  readonly #callers: Callers;

  constructor(simulation: InstallationSimulation) {
    this.#simulation = simulation;
    this.#callers = new Callers(simulation);
  }

  /** Runs one line; empty lines and comments have no effect. */
  async run(line: string): Promise<void> {
    const step = parseStep(line);
    if (step === undefined) return;
    const handler = this.#handlers[step.verb];
    if (handler === undefined) throw new ScenarioError("Unknown verb");
    await handler(step);
    const [violation] = this.#simulation.oracle.violations;
    if (violation !== undefined) throw new ScenarioError(violation);
  }

  /** Ends all faults, waits `quiescenceTime`, and checks the whole history. */
  async finish(): Promise<void> {
    this.#simulation.restore();
    await this.#simulation.advance(quiescenceTime);
    this.#simulation.oracle.checkHistory();
    this.#simulation.checkWeightStore();
    const { violations } = this.#simulation.oracle;
    if (violations.length > 0) {
      throw new ScenarioError(`After the last step: ${violations.join("; ")}`);
    }
    for (const node of this.#simulation.nodes) {
      if (node.running) this.#simulation.kill(node);
    }
  }

  readonly #handlers: Record<string, (step: Step) => void | Promise<void>> = {
    start: ({ args: [name = "", region = "tatry"] }) => {
      if (this.#simulation.findRunningNode(name))
        throw new ScenarioError(`Node ${name} already runs`);
      this.#simulation.start(name, brandString(region));
    },
    // Unlike `start`, does nothing when the node is running, as random scenarios need.
    revive: ({ args: [name = "", region = "tatry"] }) => {
      if (!this.#simulation.findRunningNode(name)) {
        this.#simulation.start(name, brandString(region));
      }
    },
    book: (step) => this.#callers.book(step, "book"),
    lookup: (step) => this.#callers.book(step, "lookup"),
    request: (step) => this.#callers.request(step),
    burst: (step) => this.#burst(step),
    fail: (step) => this.#fail(step),
    poison: ({ args: [text = ""] }) => {
      this.#simulation.poison.add(text);
    },
    cut: ({ args: [first = "", second = ""] }) =>
      this.#simulation.setCut(first, second, true),
    leave: ({ args: [name = "", signal] }) =>
      this.#simulation.leave(
        name,
        signal === "refuses" || signal === "announced" ? signal : "listed",
      ),
    pause: ({ args: [name] }) => this.#withNode(name, "pause"),
    resume: ({ args: [name] }) => this.#withNode(name, "resume"),
    kill: ({ args: [name] }) => this.#withNode(name, "kill"),
    drain: ({ args: [name] }) => this.#withNode(name, "drain"),
    restore: (step) => this.#restore(step),
    advance: ({ args: [duration] }) =>
      this.#simulation.advance(parseDuration(duration)),
    expect: (step) => this.#expect(step),
  };

  #withNode(
    name: string | undefined,
    action: "pause" | "resume" | "kill" | "drain",
  ): void {
    const node = this.#simulation.findRunningNode(name ?? "");
    if (node !== undefined) this.#simulation[action](node);
  }

  async #burst(step: Step): Promise<void> {
    const [count, verb = "", ...args] = step.args;
    const handler = this.#handlers[verb];
    if (handler === undefined)
      throw new ScenarioError(`Unknown verb "${verb}"`);
    for (let index = 0; index < Number(count); index++) {
      const key = step.options.get("key");
      const options = new Map(step.options);
      if (key !== undefined) options.set("key", `${key}${index}`);
      const label = step.label && `${step.label}${index}`;
      await handler({ verb, args, options, label });
    }
  }

  #fail(step: Step): void {
    const [target = "", fault = "", node] = step.args;
    const simulation = this.#simulation;
    const server = simulation.servers.get(target);
    const engine = simulation.engines.find((entry) => entry.engine === target);
    if (target === "table" && isOneOf(tableFaults, fault)) {
      if (node === undefined) simulation.tableFault = fault;
      else simulation.nodeTableFaults.set(node, fault);
    } else if (server !== undefined && isOneOf(serverFaults, fault)) {
      server.fault = fault as ServerFault;
    } else if (engine !== undefined && fault === "crash") {
      engine.model.crash();
    } else if (engine !== undefined && fault === "silent") {
      engine.model.silenceStreams();
    } else if (engine !== undefined && fault === "slow") {
      engine.model.batch.slowdown = 5;
    } else {
      throw new ScenarioError(`"${target}" has no fault "${fault}"`);
    }
  }

  #restore(step: Step): void {
    const [target = "all", other] = step.args;
    const simulation = this.#simulation;
    if (target === "all") simulation.restore();
    else if (other !== undefined) simulation.setCut(target, other, false);
    else if (target === "table") simulation.tableFault = undefined;
    else {
      simulation.nodeTableFaults.delete(target);
      const server = simulation.servers.get(target);
      if (server !== undefined) server.fault = undefined;
      const engine = simulation.engines.find(({ engine }) => engine === target);
      if (engine !== undefined) engine.model.batch.slowdown = 1;
    }
  }

  #expect(step: Step): void {
    const [subject = "", argument = "", expected] = step.args;
    const actual = this.#describeState(subject, argument);
    const allowed = (expected ?? argument).split("|");
    if (!allowed.some((word) => actual.includes(word))) {
      throw new ScenarioError(`Actual: ${actual.join(", ")}`);
    }
  }

  /** Words that apply to the subject of an expectation; one of them must be expected. */
  #describeState(subject: string, name: string): readonly string[] {
    const simulation = this.#simulation;
    switch (subject) {
      case "runs":
        return [String(simulation.oracle.countRuns(name))];
      case "owner": {
        const owners = simulation.nodes.filter(
          (node) =>
            node.running &&
            node.node.session.owned().includes(brandString(name)),
        );
        return owners.length === 0 ? ["none"] : owners.map((node) => node.name);
      }
      case "node": {
        const node = simulation.nodes.findLast(
          (started) => started.name === name,
        );
        return [
          node?.stopped ? "stopped" : node?.killed ? "killed" : "running",
        ];
      }
      case "crashes": {
        const engine = simulation.engines.find(
          (entry) => entry.engine === name,
        );
        return [String(engine?.model.crashes)];
      }
      default:
        return describeResult(simulation.oracle.results.get(subject));
    }
  }
}
