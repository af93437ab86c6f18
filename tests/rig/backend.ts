import { randomBytes } from "node:crypto";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { headers } from "../../platform/wire_names.ts";
import type { FakeStore } from "../platform_adapter/fake_store.ts";
import { findFreePorts } from "../support/free_ports.ts";

const host = "127.0.0.1";
/** Interval at which a server renews its registration, in ms. */
const heartbeatInterval = 1_200;

/** One request that has reached a server. */
export type Exchange = {
  readonly backend: Backend;
  readonly requestId: string;
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
};

/** How the connections of a server that crashes end. */
export type CrashEnd = "reset" | "end";

/** What a server does with a request; it has read the whole body. */
export type Serve = (exchange: Exchange) => void;

/** Arrival of a request at a server. */
export type Arrival = {
  readonly at: number;
  readonly requestId: string;
  readonly backend: string;
  /** Time that is left to the request, in ms. */
  readonly deadline?: number;
};

/** An order that has reached a server. */
export type Order = {
  readonly at: number;
  readonly Holder: string;
  readonly Fence: number;
  readonly [field: string]: unknown;
};

export type BackendOptions = {
  readonly store: FakeStore;
  readonly service: string;
  readonly serve: Serve;
  readonly zone?: string;
  /** Version of the server's software. */
  readonly version?: string;
  readonly slots?: number;
  readonly models?: readonly unknown[];
  /** Called for each arrival of a request, also one that is refused. */
  readonly onArrival?: (arrival: Arrival) => void;
  /** `IP:PORT` to register in place of the server's own, such as that of a link. */
  readonly registerAs?: (address: string) => Promise<string>;
};

/** Backend server that registers itself in the store, and can crash and start again under its id. */
export class Backend {
  readonly id = `i-${randomBytes(4).toString("hex")}`;
  readonly service: string;
  readonly orders: Order[] = [];
  version: string;
  serve: Serve;
  readonly options: BackendOptions;
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  readonly #port: number;
  #registered = "";
  #heartbeat: NodeJS.Timeout | undefined;
  #born = 0;
  #isDraining = false;
  #hasLeft = false;

  private constructor(options: BackendOptions, port: number) {
    this.options = options;
    this.#port = port;
    this.service = options.service;
    this.version = options.version ?? "v1";
    this.serve = options.serve;
  }

  static async open(options: BackendOptions): Promise<Backend> {
    const [port] = await findFreePorts(1);
    const backend = new Backend(options, port as number);
    await backend.start();
    return backend;
  }

  get address(): string {
    return `${host}:${this.#port}`;
  }

  get isRunning(): boolean {
    return this.#server !== undefined;
  }

  /** Starts the server at its address and registers it, unless it has left. */
  async start(): Promise<void> {
    if (this.#hasLeft) return;
    this.#born = Date.now();
    const server = createServer((message, response) =>
      this.#receive(message, response),
    );
    this.#server = server;
    server.keepAliveTimeout = 15_000;
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    server.listen(this.#port, host);
    await once(server, "listening");
    const { registerAs } = this.options;
    if (this.#registered === "")
      this.#registered = (await registerAs?.(this.address)) ?? this.address;
    this.register();
    this.#heartbeat = setInterval(() => this.register(), heartbeatInterval);
  }

  /** Writes the registration to the store. */
  register(fields: Readonly<Record<string, unknown>> = {}): void {
    const { store, service, zone, slots, models } = this.options;
    store.put("servers", this.id, {
      Service: service,
      Address: this.#registered,
      Zone: zone ?? "tatry-a",
      Version: this.version,
      Slots: slots ?? 128,
      State: this.#isDraining ? "draining" : "ready",
      ColdRemainingMs: 0,
      Stage: "both",
      Models: models ?? [],
      Sequence: this.orders.length,
      born: this.#born,
      ...fields,
    });
  }

  /** Resets all connections, or ends them as the kernel does for a process that is gone, without a word. */
  crash(end: CrashEnd = "reset"): void {
    this.#stopListening();
    for (const socket of this.#sockets) {
      if (end === "reset") socket.resetAndDestroy();
      else socket.destroy();
    }
  }

  /** Closes the server and its connections at the end of a test; a reset may leave a connection open for good. */
  close(): void {
    this.#stopListening();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Registers as draining from now on; requests that reach it are still served. */
  drain(): void {
    this.#isDraining = true;
    this.register();
  }

  /** Removes the registration, then crashes. */
  leave(): void {
    this.#hasLeft = true;
    this.options.store.drop("servers", this.id);
    this.crash();
  }

  #stopListening(): void {
    clearInterval(this.#heartbeat);
    this.#server?.close();
    this.#server = undefined;
  }

  #receive(message: IncomingMessage, response: ServerResponse): void {
    response.sendDate = false;
    message.on("error", () => {});
    response.on("error", () => {});
    const chunks: Buffer[] = [];
    message.on("data", (chunk: Buffer) => chunks.push(chunk));
    message.on("end", () => {
      const requestId = String(message.headers[headers.requestId] ?? "");
      if (requestId !== "") {
        const left = message.headers["goldcrestwinch-deadline-ms"];
        this.options.onArrival?.({
          at: performance.now(),
          requestId,
          backend: this.id,
          ...(left !== undefined && { deadline: Number(left) }),
        });
      }
      const expected = message.headers["goldcrestwinch-expect-instance"];
      if (expected !== undefined && expected !== this.id)
        return this.#answer(response, 421);
      if (message.url === "/health") return this.#answer(response, 200);
      if (message.url === "/report") return this.#report(response);
      if (message.url === "/order")
        return this.#order(Buffer.concat(chunks).toString(), response);
      this.serve({ backend: this, requestId, message, response });
    });
  }

  #answer(response: ServerResponse, status: number): void {
    response.writeHead(status, { "goldcrestwinch-instance-id": this.id }).end();
  }

  #report(response: ServerResponse): void {
    const report = {
      Stage: "both",
      Models: this.options.models ?? [],
      Incoming: [],
      Busy: false,
      Sequence: this.orders.length,
      Waiting: 0,
      Running: 0,
      KvUsed: 0,
      KvTotal: 150_301,
      Handles: 0,
      born: this.#born,
    };
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(report));
  }

  #order(body: string, response: ServerResponse): void {
    const order = JSON.parse(body) as Order;
    this.orders.push({ ...order, at: performance.now() });
    response.writeHead(202, { "content-type": "application/json" }).end("{}");
  }
}

/** Head fields of a server's own answer. */
export function sealHead(requestId: string): Record<string, string> {
  return {
    [headers.requestId]: requestId,
    [headers.seal]: randomBytes(6).toString("hex"),
  };
}

/** Serves every request with a whole answer after a time in ms. */
export function answerAfter(duration: number): Serve {
  return ({ requestId, response }) => {
    setTimeout(() => {
      response.writeHead(200, sealHead(requestId)).end("ok");
    }, duration);
  };
}

/** Text of one event of a stream. */
export type DescribeEvent = (event: {
  readonly id: number;
  /** Software version of the server when the stream began. */
  readonly version: string;
  readonly message: IncomingMessage;
}) => string;

/** Names the event and the server's software version. */
const describeVersion: DescribeEvent = ({ id, version }) =>
  `event ${id} by ${version}`;

/** Serves every request with a stream of events, from `Last-Event-Id` on. */
export function streamEvents(options: {
  readonly count: number;
  /** Interval between two events, in ms. */
  readonly gap: number;
  readonly describe?: DescribeEvent;
}): Serve {
  const { count, gap, describe = describeVersion } = options;
  return ({ backend, requestId, message, response }) => {
    const { version } = backend;
    let id = Number(message.headers["last-event-id"] ?? 0);
    const type = { "content-type": "text/event-stream" };
    response.writeHead(200, { ...sealHead(requestId), ...type });
    const timer = setInterval(() => {
      id++;
      const text = describe({ id, version, message });
      response.write(`id: ${id}\ndata: ${text}\n\n`);
      if (id < count) return;
      clearInterval(timer);
      response.end();
    }, gap);
    response.on("close", () => clearInterval(timer));
  };
}
