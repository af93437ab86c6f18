import {
  readSharedSlowness,
  recordSharedPace,
} from "../../../core/gateway/server_pace.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import {
  collectRatio,
  type PaceDeviations,
  type PaceLedger,
  type PaceNews,
  type PaceReport,
  recordPaceReport,
  takePaceNews,
} from "../../../core/gateway/shared_pace.ts";
import type { MachineName, ServerId } from "../../../core/ids.ts";
import type {
  NodeChannel,
  PaceMessage,
  PacesMessage,
} from "../../../ports/nodes.ts";
import type { GatewayContext } from "../context.ts";

type PaceExchangeOptions = {
  readonly context: GatewayContext;
  readonly channel: NodeChannel;
  /** Owner of an engine; undefined if none is known. */
  readonly findHolder: (engine: ServerId) => MachineName | undefined;
  readonly findAddress: (machine: MachineName) => string | undefined;
};

/**
 * Shares the pace of engines: nodes report what they have measured to the owner
 * of an engine, which tells them what all together have measured.
 */
export class PaceExchange {
  readonly #options: PaceExchangeOptions;
  readonly #deviations: PaceDeviations = new Map();
  readonly #ledger: PaceLedger = new Map();

  private constructor(options: PaceExchangeOptions) {
    this.#options = options;
  }

  static create(options: PaceExchangeOptions): PaceExchange {
    return new PaceExchange(options);
  }

  /** Adds what one answer to this node showed, and reports if that says enough. */
  recordRatio(server: BackendServer, logRatio: number): void {
    const { context, channel, findHolder, findAddress } = this.#options;
    const holder = findHolder(server.id);
    if (holder === undefined) return;
    const now = context.now();
    const shared = Math.log(readSharedSlowness(context.paces, server, now));
    const report = collectRatio(this.#deviations, server, { logRatio, shared });
    if (report === undefined) return;
    const { machine: from } = context.dependencies.identity;
    if (holder === from) return this.#record(report);
    const address = findAddress(holder);
    if (address === undefined) return;
    context.dependencies.meter.count("pace_reports_total");
    channel.send(address, { type: "pace", from, ...report });
  }

  /** Adds what another node has measured at an engine that this node owns. */
  receiveReport({ server, logSlowness, answers }: PaceMessage): void {
    const { context, findHolder } = this.#options;
    const { machine } = context.dependencies.identity;
    if (findHolder(server.id) !== machine) return;
    if (context.directory.servers.get(server.id)?.born !== server.born) return;
    this.#record({ server, logSlowness, answers });
  }

  /** Applies what all nodes together have measured, as the owner of engines says. */
  receiveNews({ servers }: PacesMessage): void {
    for (const news of servers) this.#apply(news);
  }

  /** Tells a node that uses engines of this one what has changed. */
  tell(machine: MachineName, address: string): void {
    const { context, channel } = this.#options;
    const servers = takePaceNews(this.#ledger, machine, context.now());
    if (servers.length === 0) return;
    const { machine: from } = context.dependencies.identity;
    channel.send(address, { type: "paces", from, servers });
  }

  /** Removes the state of engines that are gone or have another owner. */
  removeEnded(): void {
    const { context, findHolder } = this.#options;
    const { machine } = context.dependencies.identity;
    for (const id of this.#ledger.keys())
      if (findHolder(id) !== machine) this.#ledger.delete(id);
    for (const id of this.#deviations.keys())
      if (!context.directory.servers.has(id)) this.#deviations.delete(id);
    for (const news of takePaceNews(this.#ledger, machine, context.now()))
      this.#apply(news);
  }

  #record(report: PaceReport): void {
    const { context } = this.#options;
    const news = recordPaceReport(this.#ledger, report, context.now());
    if (news === undefined) return;
    this.#apply(news);
    const { journal, meter } = context.dependencies;
    const { id } = report.server;
    const slowness = Math.exp(news.logSlowness);
    meter.gauge("server_slowness", slowness, { server: id });
    journal.record("serverPaceChanged", {
      server: id,
      slowness: Number(slowness.toFixed(2)),
    });
  }

  #apply({ server, logSlowness }: PaceNews): void {
    const { paces, directory } = this.#options.context;
    const known = directory.servers.get(server.id);
    if (known === undefined || known.born !== server.born) return;
    const now = this.#options.context.now();
    recordSharedPace(paces, known, { logSlowness, now });
  }
}
