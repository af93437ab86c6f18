import { FakeStore } from "../platform_adapter/fake_store.ts";
import { Backend, type BackendOptions } from "./backend.ts";
import { Machine, type MachineOptions } from "./machine.ts";

/** Route of the operator's configuration; requests without a model may be repeated. */
export const lookupRoute = {
  Name: "lookup",
  Host: "desk.example",
  Prefix: "/lookup/",
  Kind: "safe",
  TimeoutMs: 3_000,
  TargetLatencyMs: 200,
  Priority: 2,
  Service: "booking",
  MaxAttempts: 3,
};

/** Route whose requests run at most once. */
export const bookingRoute = {
  ...lookupRoute,
  Name: "booking",
  Prefix: "/book/",
  Kind: "unsafe",
  MaxAttempts: 1,
};

/** Route of streams that may be resumed. */
export const streamRoute = {
  Name: "stream",
  Host: "desk.example",
  Prefix: "/stream/",
  Kind: "streaming",
  TimeoutMs: 15_000,
  TargetLatencyMs: 1_000,
  Priority: 0,
  Service: "engines",
  MaxAttempts: 2,
  Sticky: true,
  Resumable: true,
  TargetGapMs: 400,
};

/** Route of streams that may not be resumed. */
export const onceRoute = {
  ...streamRoute,
  Name: "once",
  Prefix: "/once/",
  MaxAttempts: 1,
  Resumable: false,
};

/** Models that an engine of the installation holds. */
export const models = [{ Name: "m0", Version: 1, Adapters: [] }];

/** Operator's configuration with the routes above. */
export const configuration = {
  Version: 7,
  Routes: [lookupRoute, bookingRoute, streamRoute, onceRoute],
  Services: [
    { Name: "booking", HealthPath: "/health", MaxConnections: 110 },
    {
      Name: "engines",
      HealthPath: "/health",
      MaxConnections: 630,
      Engine: {
        Slots: 128,
        KvCapacityTokens: 150_301,
        Models: [
          {
            Name: "m0",
            WeightsMb: 34_300,
            LoadS: 2,
            Adapters: 9,
            AdapterMb: 40,
          },
        ],
        WeightsMb: 35_700,
        AdapterSlots: 18,
        LoadsPerS: 3.5,
      },
    },
  ],
  Limits: {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 4_194_304,
    HeaderTimeoutMs: 3_000,
    IdleTimeoutMs: 15_000,
  },
};

/** Operator's configuration, which may name organisations. */
export type OperatorConfiguration = typeof configuration & {
  readonly Tenants?: readonly OrganisationEntry[];
};

/** An organisation in the operator's configuration. */
export type OrganisationEntry = {
  readonly Name: string;
  readonly ApiKeys: readonly string[];
};

/** Store, servers and machines of one test, as processes and sockets of this machine. */
export class Installation {
  readonly store: FakeStore;
  readonly machines: Machine[] = [];
  readonly backends: Backend[] = [];
  readonly #closers: (() => unknown)[] = [];
  #version = configuration.Version;

  private constructor(store: FakeStore) {
    this.store = store;
    this.onClose(() => store.close());
  }

  /** Opens a store with a configuration of the operator. */
  static async open(content: unknown = configuration): Promise<Installation> {
    const installation = new Installation(await FakeStore.open());
    installation.store.put("op", "config", content);
    return installation;
  }

  /** Writes a configuration of the operator under the next version. */
  publish(content: OperatorConfiguration): void {
    this.#version++;
    this.store.put("op", "config", { ...content, Version: this.#version });
  }

  async addBackend(
    options: Omit<BackendOptions, "store"> & { readonly store?: FakeStore },
  ): Promise<Backend> {
    const backend = await Backend.open({ ...options, store: this.store });
    this.backends.push(backend);
    this.onClose(() => backend.close());
    return backend;
  }

  /** Starts a machine without waiting for its process. */
  async addMachine(options: Partial<MachineOptions> = {}): Promise<Machine> {
    const machine = await Machine.start({
      name: `edge-${this.machines.length + 1}`,
      storeAddress: this.store.address,
      ...options,
    });
    this.machines.push(machine);
    this.onClose(() => machine.stop());
    return machine;
  }

  /** Starts machines and waits until they are ready. */
  async addMachines(
    count: number,
    options: Partial<MachineOptions> = {},
  ): Promise<Machine[]> {
    const added: Machine[] = [];
    for (let at = 0; at < count; at++)
      added.push(await this.addMachine(options));
    await Promise.all(added.map((machine) => machine.waitUntilReady()));
    return added;
  }

  onClose(close: () => unknown): void {
    this.#closers.push(close);
  }

  async close(): Promise<void> {
    for (const close of this.#closers.splice(0).reverse()) await close();
  }
}
