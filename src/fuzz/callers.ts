import { createHash } from "node:crypto";
import { brandString } from "../core/ids.ts";
import { computeExpectedText } from "../standins/tokens.ts";
import type { InstallationSimulation } from "./installation_simulation.ts";
import type { CallerResult } from "./oracle.ts";
import { parseDeadline, parseTokens, type Step } from "./scenario_steps.ts";
import { simulatedAdapters } from "./simulated_catalog.ts";
import type { SimulatedNode } from "./simulated_node.ts";

/** Callers of a world: send what the steps say and report what they are told. */
export class Callers {
  readonly #world: InstallationSimulation;
  #requests = 0;

  constructor(world: InstallationSimulation) {
    this.#world = world;
  }

  #nextId(step: Step): string {
    return step.label ?? `r${this.#requests++}`;
  }

  /** Sends a booking or a lookup to a node. */
  book(step: Step, kind: "book" | "lookup"): void {
    const node = this.#world.findRunningNode(step.args[0] ?? "");
    // Without a node there is no connection, and nothing is asked.
    if (node === undefined) return;
    const { options } = step;
    const id = this.#nextId(step);
    const key = kind === "book" ? options.get("key") : undefined;
    const customer = options.get("customer") ?? "zakopane";
    const owner = key === undefined ? id : `${customer}/${key}`;
    const body = `${owner}#${options.get("body") ?? ""}`;
    this.#world.oracle.recordRequest({
      id,
      kind,
      body,
      key: key === undefined ? undefined : owner,
      node: node.id,
      expectedText: "",
    });
    this.#enter(node, id, () => {
      const call = node.node.callService({
        requestId: brandString(id),
        service: this.#world.service,
        method: kind === "lookup" ? "GET" : "POST",
        path: kind === "lookup" ? "/stock" : "/reservations",
        contentType: "text/plain",
        body: Buffer.from(body),
        customer: brandString(customer),
        idempotencyKey: key,
        deadline: parseDeadline(options),
      });
      void call.then((reply) =>
        this.#tell(
          node,
          id,
          reply.caseOf<CallerResult>({
            Left: ({ code, outcome }) => ({
              kind: "refused",
              code,
              outcome,
              text: "",
            }),
            Right: (answer) => ({
              kind: "answer",
              text: Buffer.from(answer.body).toString(),
              replayed: answer.replayed,
            }),
          }),
        ),
      );
    });
  }

  /** Sends a draft to a node. */
  request(step: Step): void {
    const node = this.#world.findRunningNode(step.args[0] ?? "");
    if (node === undefined) return;
    const { options } = step;
    const id = this.#nextId(step);
    const model = options.get("model") ?? simulatedAdapters[0] ?? "";
    const tokens = Number(options.get("tokens") ?? 8);
    const text = options.get("text") ?? `draft for ${id}`;
    const body = JSON.stringify({ prompt: text, max_tokens: tokens, model });
    const digest = createHash("sha256").update(body).digest("hex");
    const expected = computeExpectedText(model, { text, tokens });
    this.#world.oracle.recordRequest({
      id,
      kind: "draft",
      key: undefined,
      body,
      node: node.id,
      expectedText: expected,
    });
    let heard = "";
    this.#enter(node, id, () => {
      node.node.openDraft(
        {
          requestId: brandString(id),
          model,
          customer: brandString("zakopane"),
          priority: "normal",
          deadline: parseDeadline(options),
          expectedTokens: tokens,
          path: "/v1/completions",
          encode: () => ({
            body: Buffer.from(body),
            digest: brandString(digest),
            prefix: brandString(digest.slice(0, 8)),
          }),
        },
        {
          onChunk: (bytes) => {
            heard += parseTokens(bytes);
          },
          onEnd: () =>
            this.#tell(node, id, {
              kind: "answer",
              text: heard,
              replayed: false,
            }),
          onRefusal: ({ code, outcome }) =>
            this.#tell(node, id, {
              kind: "refused",
              code,
              outcome,
              text: heard,
            }),
        },
      );
    });
  }

  /** Hands a request to a node as soon as it reads from its sockets. */
  #enter(node: SimulatedNode, id: string, start: () => void): void {
    node.gate.deliver(() => {
      if (node.running) start();
      else if (!this.#world.oracle.results.has(id)) {
        this.#tell(node, id, { kind: "broken" });
      }
    });
  }

  #tell(node: SimulatedNode, id: string, told: CallerResult): void {
    // A dead process tells its callers nothing; they see the connection break.
    if (node.killed && told.kind !== "broken") return;
    this.#world.oracle.recordResult(id, told);
  }
}
