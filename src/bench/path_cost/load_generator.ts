import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout } from "node:timers/promises";
import { createRandom } from "../random.ts";
import { Distribution } from "../statistics.ts";
import { benchAdapter } from "./setup.ts";

const tokenPrefix = Buffer.from("data: {");
const finalChunk = "\r\n0\r\n\r\n";
const lineEnd = 0x0a;
/**
 * Mean length of the answer that each stream gets before its timed ones. It
 * reopens connections behind the node that were closed for idleness, and
 * spreads the streams in time.
 */
const warmUpTokens = 20;
let requests = 0;

/** Times and counts of a batch of answers. */
export class LoadMeasurements {
  readonly firstToken = Distribution.create();
  readonly gap = Distribution.create();
  tokens = 0;
  answers = 0;
  incomplete = 0;
  /** Tokens of the answers that opened the batch and were not timed. */
  leadTokens = 0;
  /** Duration of the batch, in ms. */
  elapsed = 0;
}

/** Connection that sends one request after the other and times the tokens. */
class GeneratorConnection {
  readonly #socket: Socket;
  #rest: Buffer = Buffer.alloc(0);
  #result = new LoadMeasurements();
  #sentAt = 0;
  #tokenAt = 0;
  #seen = 0;
  #expected = 0;
  #finish = () => {};

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.setNoDelay(true);
    socket.on("data", (chunk) => this.#read(chunk));
  }

  static async open(origin: string): Promise<GeneratorConnection> {
    const { hostname, port } = new URL(origin);
    const socket = connect(Number(port), hostname);
    await once(socket, "connect");
    return new GeneratorConnection(socket);
  }

  /** Sends one request and resolves at the end of its answer. */
  request(tokens: number, result: LoadMeasurements): Promise<void> {
    this.#result = result;
    this.#seen = 0;
    this.#expected = tokens;
    const body = JSON.stringify({
      model: benchAdapter,
      stream: true,
      max_tokens: tokens,
      prompt: "Which chains fit 205/55 R16 tyres on a car with ABS?",
    });
    this.#sentAt = performance.now();
    this.#socket.write(
      `POST /v1/completions HTTP/1.1\r\nhost: bench\r\ncontent-type: application/json\r\nx-request-id: bench-${requests++}\r\nx-deadline-ms: 30000\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
    return new Promise((resolve) => {
      this.#finish = resolve;
    });
  }

  close(): void {
    this.#socket.destroy();
  }

  #read(chunk: Buffer): void {
    const data =
      this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const now = performance.now();
    const head = data.toString("latin1", 0, 12);
    if (head.startsWith("HTTP/1.1") && head !== "HTTP/1.1 200") {
      throw new Error(`The request was refused: ${data}`);
    }
    let at = data.indexOf(tokenPrefix);
    while (at >= 0) {
      this.#count(now);
      at = data.indexOf(tokenPrefix, at + tokenPrefix.length);
    }
    const cut = data.lastIndexOf(lineEnd) + 1;
    this.#rest = data.subarray(cut);
    if (
      data.toString("latin1", data.length - finalChunk.length) === finalChunk
    ) {
      this.#result.answers++;
      if (this.#seen !== this.#expected) this.#result.incomplete++;
      this.#finish();
    }
  }

  #count(now: number): void {
    const { firstToken, gap } = this.#result;
    if (this.#seen === 0) firstToken.record(now - this.#sentAt);
    else gap.record(now - this.#tokenAt);
    this.#tokenAt = now;
    this.#seen++;
    this.#result.tokens++;
  }
}

const random = createRandom(1);

/**
 * Waits for a random part of two engine steps. Without it each request follows
 * the end of a step at a fixed distance, and a delay of any size in front of
 * the engine costs a whole step.
 */
function waitForRandomPhase(stepTime: number): Promise<void> {
  if (stepTime === 0) return Promise.resolve();
  return setTimeout(2 * stepTime * random());
}

/** Opens connections once, so that no measurement includes their setup. */
export class LoadGenerator {
  readonly #connections: readonly GeneratorConnection[];

  private constructor(connections: readonly GeneratorConnection[]) {
    this.#connections = connections;
  }

  static async open(origin: string, streams: number): Promise<LoadGenerator> {
    const connections = Array.from({ length: streams }, () =>
      GeneratorConnection.open(origin),
    );
    return new LoadGenerator(await Promise.all(connections));
  }

  /** Runs `answers` requests one after the other on each connection, of half to one and a half times `tokens`. */
  async run(
    batch: { answers: number; tokens: number; stepTime: number },
    result: LoadMeasurements,
  ): Promise<void> {
    const startedAt = performance.now();
    const lead = new LoadMeasurements();
    await Promise.all(
      this.#connections.map(async (connection, index) => {
        const spread = (index + 0.5) / this.#connections.length + 0.5;
        await connection.request(Math.ceil(warmUpTokens * spread), lead);
        for (let count = 0; count < batch.answers; count++) {
          await waitForRandomPhase(batch.stepTime);
          const share = count % 2 === 0 ? spread : 2 - spread;
          await connection.request(Math.ceil(batch.tokens * share), result);
        }
      }),
    );
    result.leadTokens += lead.tokens;
    result.elapsed += performance.now() - startedAt;
  }

  close(): void {
    for (const connection of this.#connections) connection.close();
  }
}
