import { createHash } from "node:crypto";
import { brandString } from "../core/ids.ts";
import { computeExpectedText } from "../standins/tokens.ts";
import type { InstallationSimulation } from "./installation_simulation.ts";
import type { CallerResult } from "./oracle.ts";
import { parseDeadline, parseTokens, type Step } from "./scenario_steps.ts";
import { simulatedAdapters } from "./simulated_catalog.ts";
import type { SimulatedNode } from "./simulated_node.ts";

/** Callers of a simulated installation: send the requests of a scenario and record the results. */
export class Callers {
  readonly #simulation: InstallationSimulation;
  #requests = 0;

  constructor(simulation: InstallationSimulation) {
    this.#simulation = simulation;
  }

  #nextId(step: Step): string {
    return step.label ?? `r${this.#requests++}`;
  }

  /** Sends a booking or a lookup to a node. */
  book(step: Step, kind: "book" | "lookup"): void {
    const node = this.#simulation.findRunningNode(step.args[0] ?? "");
    // Without a running node there is no connection, so no request is sent.
    if (node === undefined) return;
    const { options } = step;
    const id = this.#nextId(step);
    const key = kind === "book" ? options.get("key") : undefined;
    const customer = options.get("customer") ?? "zakopane";
    const callKey = key === undefined ? id : `${customer}/${key}`;
    const body = `${callKey}#${options.get("body") ?? ""}`;
    this.#simulation.oracle.recordRequest({
      id,
      kind,
      body,
      key: key === undefined ? undefined : callKey,
      node: node.id,
      expected: "",
    });
    this.#deliverToNode(node, id, () => {
      const call = node.node.callService({
        requestId: brandString(id),
        service: this.#simulation.service,
        method: kind === "lookup" ? "GET" : "POST",
        path: kind === "lookup" ? "/stock" : "/reservations",
        contentType: "text/plain",
        body: Buffer.from(body),
        customer: brandString(customer),
        idempotencyKey: key,
        deadline: parseDeadline(options),
      });
      void call.then((reply) =>
        this.#recordResult(
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

  /** Sends a draft request to a node. */
  request(step: Step): void {
    const node = this.#simulation.findRunningNode(step.args[0] ?? "");
    if (node === undefined) return;
    const { options } = step;
    const id = this.#nextId(step);
    const model = options.get("model") ?? simulatedAdapters[0] ?? "";
    const tokens = Number(options.get("tokens") ?? 8);
    const text = options.get("text") ?? `draft for ${id}`;
    const body = JSON.stringify({ prompt: text, max_tokens: tokens, model });
    const digest = createHash("sha256").update(body).digest("hex");
    const expected = computeExpectedText(model, { text, tokens });
    this.#simulation.oracle.recordRequest({
      id,
      kind: "draft",
      key: undefined,
      body,
      node: node.id,
      expected,
    });
    let receivedText = "";
    this.#deliverToNode(node, id, () => {
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
            receivedText += parseTokens(bytes);
          },
          onEnd: () =>
            this.#recordResult(node, id, {
              kind: "answer",
              text: receivedText,
              replayed: false,
            }),
          onRefusal: ({ code, outcome }) =>
            this.#recordResult(node, id, {
              kind: "refused",
              code,
              outcome,
              text: receivedText,
            }),
        },
      );
    });
  }

  /** Delivers a request once the node is not paused; breaks the connection if the node has ended by then. */
  #deliverToNode(node: SimulatedNode, id: string, start: () => void): void {
    node.gate.deliver(() => {
      if (node.running) start();
      else if (!this.#simulation.oracle.results.has(id)) {
        this.#recordResult(node, id, { kind: "broken" });
      }
    });
  }

  #recordResult(node: SimulatedNode, id: string, result: CallerResult): void {
    // A killed process sends no response; its callers see the connection break.
    if (node.killed && result.kind !== "broken") return;
    this.#simulation.oracle.recordResult(id, result);
  }
}
