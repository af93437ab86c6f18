import { createHash } from "node:crypto";
import { brandString } from "../core/ids.ts";
import { expectedText } from "../standins/tokens.ts";
import type { Told } from "./oracle.ts";
import { parseWithin, readTokens, type Step } from "./scenario_steps.ts";
import type { World } from "./world.ts";
import { worldAdapters } from "./world_catalog.ts";
import type { WorldNode } from "./world_node.ts";

/** Callers of a world: send what the steps say and report what they are told. */
export class Callers {
  readonly #world: World;
  #requests = 0;

  constructor(world: World) {
    this.#world = world;
  }

  #nextId(step: Step): string {
    return step.label ?? `r${this.#requests++}`;
  }

  /** Sends a booking or a lookup to a node. */
  book(step: Step, kind: "book" | "lookup"): void {
    const node = this.#world.find(step.words[0] ?? "");
    // Without a node there is no connection, and nothing is asked.
    if (node === undefined) return;
    const { options } = step;
    const id = this.#nextId(step);
    const key = kind === "book" ? options.get("key") : undefined;
    const customer = options.get("customer") ?? "zakopane";
    const owner = key === undefined ? id : `${customer}/${key}`;
    const body = `${owner}#${options.get("body") ?? ""}`;
    this.#world.oracle.ask({
      id,
      kind,
      body,
      key: key === undefined ? undefined : owner,
      node: node.id,
      expected: "",
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
        deadline: parseWithin(options),
      });
      void call.then((reply) =>
        this.#tell(
          node,
          id,
          reply.caseOf<Told>({
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
    const node = this.#world.find(step.words[0] ?? "");
    if (node === undefined) return;
    const { options } = step;
    const id = this.#nextId(step);
    const model = options.get("model") ?? worldAdapters[0] ?? "";
    const tokens = Number(options.get("tokens") ?? 8);
    const text = options.get("text") ?? `draft for ${id}`;
    const body = JSON.stringify({ prompt: text, max_tokens: tokens, model });
    const digest = createHash("sha256").update(body).digest("hex");
    const expected = expectedText(model, { text, tokens });
    this.#world.oracle.ask({
      id,
      kind: "draft",
      key: undefined,
      body,
      node: node.id,
      expected,
    });
    let heard = "";
    this.#enter(node, id, () => {
      node.node.openDraft(
        {
          requestId: brandString(id),
          model,
          customer: brandString("zakopane"),
          priority: "normal",
          deadline: parseWithin(options),
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
            heard += readTokens(bytes);
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
  #enter(node: WorldNode, id: string, start: () => void): void {
    node.gate.pass(() => {
      if (node.running) start();
      else if (!this.#world.oracle.told.has(id)) {
        this.#tell(node, id, { kind: "broken" });
      }
    });
  }

  #tell(node: WorldNode, id: string, told: Told): void {
    // A dead process tells its callers nothing; they see the connection break.
    if (node.killed && told.kind !== "broken") return;
    this.#world.oracle.tell(id, told);
  }
}
