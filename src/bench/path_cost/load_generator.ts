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
 * Mean length of the untimed response at the start of each stream. It reopens
 * connections behind the node that were closed while idle, and staggers the
 * streams.
 */
const meanWarmUpTokens = 20;
let requests = 0;

/** Durations and counts of a batch of responses. */
export class LoadMeasurements {
  readonly firstToken = Distribution.create();
  readonly gap = Distribution.create();
  tokens = 0;
  answers = 0;
  incomplete = 0;
  /** Tokens of the untimed responses at the start of the batch. */
  warmUpTokens = 0;
  /** Duration of the batch, in ms. */
  elapsed = 0;
}

/** Connection that sends requests sequentially and measures the times of their tokens. */
class GeneratorConnection {
  readonly #socket: Socket;
  #buffered: Buffer = Buffer.alloc(0);
  #result = new LoadMeasurements();
  #sentAt = 0;
  #lastTokenAt = 0;
  #receivedTokens = 0;
  #expectedTokens = 0;
  #resolve = () => {};

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

  /** Sends one request and resolves at the end of its response. */
  request(tokens: number, result: LoadMeasurements): Promise<void> {
    this.#result = result;
    this.#receivedTokens = 0;
    this.#expectedTokens = tokens;
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
      this.#resolve = resolve;
    });
  }

  close(): void {
    this.#socket.destroy();
  }

  #read(chunk: Buffer): void {
    const data =
      this.#buffered.length === 0
        ? chunk
        : Buffer.concat([this.#buffered, chunk]);
    const now = performance.now();
    const head = data.toString("latin1", 0, 12);
    if (head.startsWith("HTTP/1.1") && head !== "HTTP/1.1 200") {
      throw new Error(`HTTP request was refused: ${data}`);
    }
    let at = data.indexOf(tokenPrefix);
    while (at >= 0) {
      this.#recordToken(now);
      at = data.indexOf(tokenPrefix, at + tokenPrefix.length);
    }
    const consumed = data.lastIndexOf(lineEnd) + 1;
    this.#buffered = data.subarray(consumed);
    if (
      data.toString("latin1", data.length - finalChunk.length) === finalChunk
    ) {
      this.#result.answers++;
      if (this.#receivedTokens !== this.#expectedTokens)
        this.#result.incomplete++;
      this.#resolve();
    }
  }

  #recordToken(now: number): void {
    const { firstToken, gap } = this.#result;
    if (this.#receivedTokens === 0) firstToken.record(now - this.#sentAt);
    else gap.record(now - this.#lastTokenAt);
    this.#lastTokenAt = now;
    this.#receivedTokens++;
    this.#result.tokens++;
  }
}

const random = createRandom(1);

/**
 * Waits for a random time of up to two engine steps. Otherwise each request
 * would start at a fixed offset from the end of a step, and any delay in front
 * of the engine would cost a whole step.
 */
function waitForRandomPhase(stepTime: number): Promise<void> {
  if (stepTime === 0) return Promise.resolve();
  return setTimeout(2 * stepTime * random());
}

/** Load generator that opens its connections once, so that no measurement includes their setup. */
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

  /** Sends `answers` requests sequentially on each connection, each for 0.5 to 1.5 times `tokens`. */
  async run(
    batch: { answers: number; tokens: number; stepTime: number },
    result: LoadMeasurements,
  ): Promise<void> {
    const startedAt = performance.now();
    const warmUp = new LoadMeasurements();
    await Promise.all(
      this.#connections.map(async (connection, index) => {
        const lengthFactor = (index + 0.5) / this.#connections.length + 0.5;
        await connection.request(
          Math.ceil(meanWarmUpTokens * lengthFactor),
          warmUp,
        );
        for (let count = 0; count < batch.answers; count++) {
          await waitForRandomPhase(batch.stepTime);
          const factor = count % 2 === 0 ? lengthFactor : 2 - lengthFactor;
          await connection.request(Math.ceil(batch.tokens * factor), result);
        }
      }),
    );
    result.warmUpTokens += warmUp.tokens;
    result.elapsed += performance.now() - startedAt;
  }

  close(): void {
    for (const connection of this.#connections) connection.close();
  }
}
