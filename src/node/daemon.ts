import type { Either } from "purify-ts";
import { UdpDatagrams } from "../adapters/gossip/udp_datagrams.ts";
import { createToken, Keyring, readKeyFile } from "../adapters/keys/keyring.ts";
import { OrganisationFile } from "../adapters/keys/organisation_file.ts";
import { createEntryLog, createLogger } from "../adapters/observe/log.ts";
import { Metrics } from "../adapters/observe/metrics.ts";
import { Timeline } from "../adapters/observe/timeline.ts";
import { HttpForwarder } from "../adapters/peers/forward_client.ts";
import { ForwardServer } from "../adapters/peers/forward_server.ts";
import { GuardedTable } from "../adapters/platform/guarded_table.ts";
import { MachinesClient } from "../adapters/platform/machines_client.ts";
import { ObjectClient } from "../adapters/platform/object_client.ts";
import { TableClient } from "../adapters/platform/table_client.ts";
import type { Settings } from "../adapters/settings/settings.ts";
import { readProcessorTime } from "../adapters/time/processor_time.ts";
import { RealClock } from "../adapters/time/real_clock.ts";
import { type Cancel, millis } from "../core/clock.ts";
import { brandString, type NodeId } from "../core/ids.ts";
import { connectBackEnds } from "./back_ends.ts";
import { Listeners } from "./listeners.ts";
import { MachineWatch } from "./machine_watch.ts";
import { type NodeComponents, wireNode } from "./wiring.ts";

/** Length of the random token that distinguishes the starts of a node in its id. */
const startTokenLength = 6;

/** Maximum time for closing connections and clients at the end, in ms. */
export const closeTimeout = millis(1_000);

/** A running node with its listeners and clients. */
export class Daemon {
  readonly nodeId: NodeId;
  readonly timeline: Timeline;
  /** Reads the key file and the organisation file again. */
  readonly reloadKeys: () => void;
  /** Resolves when a graceful stop has ended, to false if its time limit ended it. */
  readonly stopped: Promise<boolean>;
  readonly #components: NodeComponents;
  readonly #closers: (() => Promise<void> | void)[];
  readonly #settings: Settings;

  /** Starts a node; throws when a listener cannot be opened or a file of keys is invalid. */
  static async start(settings: Settings): Promise<Daemon> {
    const keys = unwrap(readKeyFile(settings.keyFile));
    const clock = RealClock.create();
    const keyring = Keyring.create(keys);
    const token = createToken().slice(0, startTokenLength);
    const nodeId = brandString<NodeId>(`${settings.node.name}.${token}`);
    const logger = createLogger({ node: nodeId, level: settings.log.level });
    const timeline = Timeline.create({
      node: nodeId,
      clock,
      listener: createEntryLog(logger),
    });
    const metrics = Metrics.create();
    const onReload = (error: string | undefined): void =>
      timeline.record("keysReloaded", { error });
    keyring.watch(settings.keyFile, { clock, onReload });
    const organisations = openOrganisations(settings, { clock, timeline });
    const shared = { clock, keyring, timeline, meter: metrics };
    const { table, closePlatform, ...platform } = connectPlatform(
      settings,
      shared,
    );
    const backEnds = connectBackEnds(settings, shared);
    const forwarder = HttpForwarder.create(shared);
    const datagrams = await UdpDatagrams.open({
      ...settings.listen.peers,
      ...shared,
      journal: timeline,
    });
    let listeners: Listeners | undefined;
    let cancelTimeout: Cancel = () => {};
    let markStopped = (_isComplete: boolean): void => {};
    const stopped = new Promise<boolean>((resolve) => {
      markStopped = resolve;
    });
    const components = wireNode({
      ...shared,
      ...platform,
      settings,
      nodeId,
      table,
      backEnds,
      forwarder,
      datagrams,
      readProcessorTime,
      onDrain: (requestedAt) => {
        listeners?.startClosing();
        const stopAt = requestedAt + settings.stop.timeoutMs - closeTimeout;
        cancelTimeout = clock.schedule(millis(stopAt - clock.now()), () =>
          markStopped(false),
        );
      },
      onStopped: async () => {
        await listeners?.finish();
        markStopped(true);
      },
    });
    const watch = MachineWatch.create({
      machines: platform.machines,
      clock,
      onLeaving: (server) => components.node.markLeaving(server),
    });
    const forwards = ForwardServer.create({ target: components.node, clock });
    listeners = await Listeners.open({
      ...shared,
      settings,
      components,
      forwards,
      organisations,
    });
    timeline.record("nodeStarted", {
      callers: formatAddress(settings.listen.callers),
      peers: formatAddress(settings.listen.peers),
    });
    return new Daemon({
      nodeId,
      timeline,
      stopped,
      components,
      settings,
      reloadKeys: () => {
        keyring.reload(settings.keyFile, onReload);
        organisations?.reload();
      },
      closers: [
        () => cancelTimeout(),
        () => watch.stop(),
        () => components.stop(),
        () => forwards.close(),
        () => listeners?.close(),
        () => forwarder.close(),
        () => datagrams.close(),
        () => backEnds.close(),
        () => closePlatform(),
        () => keyring.close(),
        () => organisations?.close(),
      ],
    });
  }

  private constructor(options: {
    nodeId: NodeId;
    timeline: Timeline;
    stopped: Promise<boolean>;
    components: NodeComponents;
    settings: Settings;
    reloadKeys: () => void;
    closers: (() => Promise<void> | void)[];
  }) {
    this.nodeId = options.nodeId;
    this.timeline = options.timeline;
    this.stopped = options.stopped;
    this.#components = options.components;
    this.#settings = options.settings;
    this.reloadKeys = options.reloadKeys;
    this.#closers = options.closers;
  }

  /** `IP:PORT` for callers. */
  get callers(): string {
    return formatAddress(this.#settings.listen.callers);
  }

  /** `IP:PORT` for peers and operators. */
  get peers(): string {
    return formatAddress(this.#settings.listen.peers);
  }

  /** Whether the node accepts requests. */
  get ready(): boolean {
    return this.#components.node.checkReadiness() === undefined;
  }

  /** Starts a graceful stop; `stopped` resolves when it has finished. */
  drain(): void {
    this.#components.node.drain();
  }

  /** Closes all listeners and clients without draining. */
  async stop(): Promise<void> {
    for (const close of this.#closers) await close();
  }
}

type SharedDependencies = {
  readonly clock: RealClock;
  readonly keyring: Keyring;
  readonly timeline: Timeline;
  readonly meter: Metrics;
};

function unwrap<Value>(result: Either<string, Value>): Value {
  return result.caseOf({
    Left: (error) => {
      throw new Error(error);
    },
    Right: (value) => value,
  });
}

/** Opens the organisation file; undefined if callers need no key. */
function openOrganisations(
  { organisationFile }: Settings,
  { clock, timeline }: Pick<SharedDependencies, "clock" | "timeline">,
): OrganisationFile | undefined {
  if (organisationFile === undefined) return undefined;
  const onReload = (error: string | undefined): void =>
    timeline.record("organisationsReloaded", { error });
  return unwrap(OrganisationFile.open(organisationFile, { clock, onReload }));
}

function connectPlatform(settings: Settings, shared: SharedDependencies) {
  const { clock, meter, timeline } = shared;
  const origins = settings.platform;
  const tableClient = TableClient.create({
    origin: origins.table,
    clock,
    meter,
  });
  const objects = ObjectClient.create({
    origin: origins.objects,
    clock,
    meter,
  });
  const machines = MachinesClient.create({
    origin: origins.machines,
    clock,
    meter,
  });
  const table = GuardedTable.create({
    table: tableClient,
    clock,
    random: Math.random,
    journal: timeline,
    meter,
  });
  return {
    table,
    objects,
    machines,
    async closePlatform() {
      table.close();
      await tableClient.close();
      await objects.close();
      await machines.close();
    },
  };
}

function formatAddress({ host, port }: { host: string; port: number }): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
