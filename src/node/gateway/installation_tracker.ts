import {
  forgetEngineAdapters,
  recordRegistration,
} from "../../core/gateway/adapter_directory.ts";
import { forgetServer } from "../../core/gateway/server_health.ts";
import {
  applyServerChange,
  type BackendServer,
  removeExpiredServers,
  type ServerChange,
} from "../../core/gateway/servers.ts";
import type { ServerId } from "../../core/ids.ts";
import type { EntryOrigin, InstallationChange } from "../../ports/gateway.ts";
import type { GatewayContext } from "./context.ts";

type InstallationTrackerOptions = {
  readonly context: GatewayContext;
  /** Called when a configuration comes into force. */
  readonly onConfiguration: () => void;
  /** Called when a server has registered itself or changed. */
  readonly onServer: (server: BackendServer) => void;
  /** Called when a server is gone. */
  readonly onServerGone: (id: ServerId) => void;
};

/** Applies the changes of the installation to the context that all tasks share. */
export class InstallationTracker {
  readonly #options: InstallationTrackerOptions;
  readonly #completedTopics = new Set<string>();

  private constructor(options: InstallationTrackerOptions) {
    this.#options = options;
  }

  static create(options: InstallationTrackerOptions): InstallationTracker {
    return new InstallationTracker(options);
  }

  /** Whether the configuration and all servers have been read. */
  get isComplete(): boolean {
    const { configuration } = this.#options.context;
    return configuration !== undefined && this.#completedTopics.size === 2;
  }

  apply(change: InstallationChange): void {
    const { context, onConfiguration } = this.#options;
    const { journal } = context.dependencies;
    switch (change.type) {
      case "configuration": {
        const known = context.configuration?.revision ?? -1;
        if (change.value.revision <= known) return;
        context.configuration = change.value;
        journal.record("revisionInForce", { revision: change.value.revision });
        onConfiguration();
        return;
      }
      case "adapter-version": {
        const { place, version } = change.value;
        if (version <= (context.versions.get(place) ?? 0)) return;
        context.versions.set(place, version);
        journal.record("adapterVersionDeclared", { place, version });
        return;
      }
      case "server":
        this.#applyServerChange(change.change, change.origin);
        return;
      case "complete":
        this.#completedTopics.add(change.topic);
        if (this.#completedTopics.size === 2) journal.record("nodeReady");
        return;
    }
  }

  /** Removes servers whose registration did not return in time. */
  removeExpired(): void {
    const { context } = this.#options;
    for (const id of removeExpiredServers(context.directory, context.now())) {
      this.#forgetServer(id);
    }
  }

  #applyServerChange(change: ServerChange, origin: EntryOrigin): void {
    const { context, onServer } = this.#options;
    const { directory, adapterDirectory } = context;
    if (change.type === "absent") {
      const usableUntil = applyServerChange(directory, change, context.now());
      if (usableUntil === undefined)
        return this.#forgetServer(change.id, origin);
      const { journal } = context.dependencies;
      const kept = Math.round(usableUntil - context.now());
      const fields = { server: change.id, kept, ...describeOrigin(origin) };
      journal.record("serverUnlisted", fields);
      return;
    }
    const { id, born } = change.server;
    const known = directory.servers.get(id);
    if (known !== undefined && known.born !== born) {
      forgetEngineAdapters(adapterDirectory, id);
      forgetServer(context.health, id);
    }
    applyServerChange(directory, change, context.now());
    const server = directory.servers.get(id) ?? change.server;
    recordRegistration(adapterDirectory, server, context.now());
    if (known === undefined || known.leaving !== server.leaving) {
      this.#recordServer(server, origin);
    }
    onServer(server);
  }

  #recordServer(server: BackendServer, origin: EntryOrigin): void {
    const event = server.leaving ? "serverLeaving" : "serverSeen";
    const { id, service, address, dataCentre } = server;
    const { journal } = this.#options.context.dependencies;
    journal.record(event, {
      server: id,
      service,
      address,
      dataCentre,
      ...describeOrigin(origin),
    });
  }

  #forgetServer(id: ServerId, origin?: EntryOrigin): void {
    const { context, onServerGone } = this.#options;
    const { links, journal } = context.dependencies;
    forgetEngineAdapters(context.adapterDirectory, id);
    forgetServer(context.health, id);
    links.disconnect(id);
    const fields = origin === undefined ? {} : describeOrigin(origin);
    journal.record("serverGone", { server: id, ...fields });
    onServerGone(id);
  }
}

/** Log fields of a change's version, way and highest age. */
function describeOrigin({ rowVersion, source, maxAge }: EntryOrigin) {
  return { rowVersion, source: source ?? "store", maxAge: Math.round(maxAge) };
}
