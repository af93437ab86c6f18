import { type Millis, millis } from "../../../core/clock.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import {
  createVersionHistory,
  isTooNew,
  listMixedServices,
  listVersions,
  maxViewAge,
  recordServers,
  recordVersion,
  streamMemory,
  unknownVersion,
} from "../../../core/gateway/software_versions.ts";
import type { ServiceName, SoftwareVersion } from "../../../core/ids.ts";
import type { GatewayContext } from "../context.ts";

type VersionsInSightOptions = {
  /** Time at which the entries of the servers were last known to be complete. */
  readonly viewTime: () => Millis;
  /** Start of the latest read of the rows of all nodes that was answered. */
  readonly rowsReadAt: () => Millis;
};

/** Software versions that this node has seen lately, and whether it can have missed one. */
export class VersionsInSight {
  readonly #context: GatewayContext;
  readonly #options: VersionsInSightOptions;
  readonly #history = createVersionHistory();
  /** Latest time at which the view of the servers was too old, or the start of the process. */
  #outOfTouchAt: Millis;
  /** View at the latest check. */
  #checkedView = millis(Number.NEGATIVE_INFINITY);

  private constructor(
    context: GatewayContext,
    options: VersionsInSightOptions,
  ) {
    this.#context = context;
    this.#options = options;
    this.#outOfTouchAt = context.now();
  }

  static create(
    context: GatewayContext,
    options: VersionsInSightOptions,
  ): VersionsInSight {
    return new VersionsInSight(context, options);
  }

  /** Whether the rows of all nodes have to be read to know what was missed. */
  get needsRows(): boolean {
    return this.#isInTouch && !this.#isWhole;
  }

  /** Records the versions of the servers that are in sight now. */
  check(): void {
    this.#checkView();
    const { servers } = this.#context.directory;
    recordServers(this.#history, servers.values(), this.#context.now());
  }

  /** Records a version that another node saw at a time. */
  record(service: ServiceName, version: SoftwareVersion, at: Millis): void {
    recordVersion(this.#history, { service, version, at });
  }

  list(service: ServiceName): SoftwareVersion[] {
    return listVersions(this.#history, service);
  }

  /** Services of which several versions were in sight lately. */
  listMixed(): ServiceName[] {
    return listMixedServices(this.#history);
  }

  /** The version of all servers lately; undefined if there may be another one that this node has not seen. */
  findSingle(service: ServiceName): SoftwareVersion | undefined {
    this.#checkView();
    if (!this.#isInTouch || !this.#isWhole) return undefined;
    const [version, ...others] = this.list(service);
    if (others.length > 0 || version === unknownVersion) return undefined;
    return version;
  }

  /** Whether no stream that may be taken up begins at a server yet, since nodes may not have seen its version. */
  isTooNew(server: BackendServer): boolean {
    const servers = this.#context.directory.servers.values();
    const now = this.#context.now();
    return isTooNew(this.#history, server, { servers, now });
  }

  get #isInTouch(): boolean {
    return this.#context.now() <= this.#options.viewTime() + maxViewAge;
  }

  /** Whether the node knows the versions of the last minute: by its own view, or by the rows of all that it has read since it was out of touch. */
  get #isWhole(): boolean {
    const since = this.#outOfTouchAt;
    return (
      this.#options.rowsReadAt() >= since ||
      this.#context.now() >= since + streamMemory
    );
  }

  /** Notes a view that is too old, or was, since a process that stood still may read a new one first. */
  #checkView(): void {
    const view = this.#options.viewTime();
    const hasGap = view > this.#checkedView + maxViewAge;
    if (hasGap || !this.#isInTouch) this.#outOfTouchAt = this.#context.now();
    this.#checkedView = view;
  }
}
