import { type Millis, millis } from "../../../core/clock.ts";
import {
  forgetEngineAdapters,
  recordRegistration,
} from "../../../core/gateway/adapter_directory.ts";
import { forgetServer } from "../../../core/gateway/server_health.ts";
import {
  applyServerChange,
  type BackendServer,
  type Incarnation,
  recordLeaving,
  removeExpiredServers,
  type ServerChange,
} from "../../../core/gateway/servers.ts";
import type { ServerId } from "../../../core/ids.ts";
import type {
  EntryOrigin,
  InstallationChange,
} from "../../../ports/gateway.ts";
import type { EventFields } from "../../../ports/journal.ts";
import type { GatewayContext } from "../context.ts";

type InstallationTrackerOptions = {
  readonly context: GatewayContext;
  /** Called when a configuration comes into force. */
  readonly onConfiguration: () => void;
  /** Called when a server has registered itself or changed. */
  readonly onServer: (server: BackendServer) => void;
  /** Called with an entry that was read and was written at most `maxAge` ms ago. */
  readonly onEntry: (server: BackendServer, maxAge: number) => void;
  /** Called when a server is gone. */
  readonly onServerGone: (id: ServerId) => void;
};

/** Time for which a declaration with a lower number must stay the newest before it comes into force, in ms. */
const settleTime = 1_000;

/** A numbered declaration of the operator. */
type Declaration = {
  /** Number in force, if there is one. */
  readonly known: number | undefined;
  readonly next: number;
  readonly apply: () => void;
};

type Settling = Pick<Declaration, "next" | "apply"> & {
  readonly dueAt: Millis;
};

/** Applies the changes of the installation to the context that all tasks share. */
export class InstallationTracker {
  readonly #options: InstallationTrackerOptions;
  readonly #completedTopics = new Set<string>();
  /** Declarations with a lower number than the one in force, by name. */
  readonly #settling = new Map<string, Settling>();

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
        const { revision } = change.value;
        this.#applyDeclaration("configuration", change.isFromCopy, {
          known: context.configuration?.revision,
          next: revision,
          apply: () => {
            context.configuration = change.value;
            journal.record("revisionInForce", { revision });
            onConfiguration();
          },
        });
        return;
      }
      case "adapter-version": {
        const { place, version } = change.value;
        this.#applyDeclaration(place, change.isFromCopy, {
          known: context.versions.get(place),
          next: version,
          apply: () => {
            if (context.versions.get(place) === version) return;
            context.versions.set(place, version);
            journal.record("adapterVersionDeclared", { place, version });
          },
        });
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

  /**
   * Applies the news that a server leaves, which its registration may not say
   * yet; `source` is the node that passed it on, or the server itself. Returns
   * whether the node did not know it before.
   */
  recordLeaving(incarnation: Incarnation, source: string): boolean {
    const { context, onServer } = this.#options;
    if (!recordLeaving(context.directory, incarnation)) return false;
    const server = context.directory.servers.get(incarnation.id);
    if (server === undefined) return false;
    this.#recordServer(server, { source });
    onServer(server);
    return true;
  }

  /**
   * Brings a declaration of the operator into force. One with a lower number
   * has to stay the newest for a time, since the operator may be writing again,
   * one after another, what a restored table service has lost.
   */
  #applyDeclaration(
    name: string,
    isFromCopy: boolean | undefined,
    { known, next, apply }: Declaration,
  ): void {
    const { context } = this.#options;
    if (known !== undefined && next <= known && isFromCopy) {
      const { journal } = context.dependencies;
      if (next < known)
        journal.record("declarationIgnored", { name, next, known });
      return;
    }
    if (this.#settling.get(name)?.next === next) return;
    this.#settling.delete(name);
    if (known === undefined || next >= known) return apply();
    const dueAt = millis(context.now() + settleTime);
    this.#settling.set(name, { next, dueAt, apply });
  }

  /** Applies what has become due: declarations that have settled, and the loss of servers whose registration did not return in time. */
  applyDue(): void {
    const { context } = this.#options;
    for (const [name, { dueAt, apply }] of this.#settling) {
      if (context.now() < dueAt) continue;
      this.#settling.delete(name);
      apply();
    }
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
    const { id } = change.server;
    const known = directory.servers.get(id);
    applyServerChange(directory, change, context.now());
    const server = directory.servers.get(id);
    // An entry from a copy of the table service may say less than is known.
    if (server === undefined || server === known) return;
    this.#options.onEntry(server, origin.maxAge);
    if (known !== undefined && known.born !== server.born) {
      forgetEngineAdapters(adapterDirectory, id);
      forgetServer(context.health, id);
    }
    recordRegistration(adapterDirectory, server, context.now());
    if (known === undefined || known.leaving !== server.leaving) {
      this.#recordServer(server, describeOrigin(origin));
    }
    onServer(server);
  }

  #recordServer(server: BackendServer, origin: EventFields): void {
    const event = server.leaving ? "serverLeaving" : "serverSeen";
    const { id, service, address, dataCentre, softwareVersion } = server;
    const { journal } = this.#options.context.dependencies;
    journal.record(event, {
      server: id,
      service,
      address,
      dataCentre,
      softwareVersion,
      ...origin,
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
