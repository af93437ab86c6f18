import { createCallerServer } from "../adapters/callers/caller_server.ts";
import { InFlightLimiter } from "../adapters/callers/in_flight_limiter.ts";
import { HttpListener } from "../adapters/http/listener.ts";
import type { Keyring } from "../adapters/keys/keyring.ts";
import type { OrganisationFile } from "../adapters/keys/organisation_file.ts";
import type { Metrics } from "../adapters/observe/metrics.ts";
import type { Timeline } from "../adapters/observe/timeline.ts";
import type { ForwardServer } from "../adapters/peers/forward_server.ts";
import { createPeerServer } from "../adapters/peers/peer_server.ts";
import type { Settings } from "../adapters/settings/settings.ts";
import { type Clock, millis } from "../core/clock.ts";
import { ByteBudget } from "../core/gateway/byte_budget.ts";
import type { NodeComponents } from "./wiring.ts";

/** Maximum time that a stopped node waits until callers have taken their answers, in ms. */
const answerTimeout = millis(5_000);

/** Options of the listeners of a node. */
export type ListenersOptions = {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly keyring: Keyring;
  readonly timeline: Timeline;
  readonly meter: Metrics;
  readonly components: NodeComponents;
  readonly forwards: ForwardServer;
  /** Undefined if callers need no key. */
  readonly organisations: OrganisationFile | undefined;
};

/** The listeners of a node for callers, and for peers and operators. */
export class Listeners {
  readonly #callers: HttpListener;
  readonly #peers: HttpListener;

  private constructor(callers: HttpListener, peers: HttpListener) {
    this.#callers = callers;
    this.#peers = peers;
  }

  /** Opens both listeners; rejects if an address is not available. */
  static async open(options: ListenersOptions): Promise<Listeners> {
    const { settings, clock, components, meter, organisations } = options;
    const peers = HttpListener.create({
      clock,
      createServer: (admission) =>
        createPeerServer({
          ...options,
          operators: components.operators,
          admission,
        }),
    });
    const callers = HttpListener.create({
      clock,
      createServer: (admission) =>
        createCallerServer({
          ...options,
          front: components.node,
          listOrganisations: organisations && (() => organisations.directory),
          limits: InFlightLimiter.create(settings.limits),
          bodies: ByteBudget.create(settings.limits.bodyBytes),
          maxConnections: settings.limits.connections,
          readMetrics: () => meter.registry.metrics(),
          admission,
        }),
    });
    await peers.listen(settings.listen.peers);
    await callers.listen(settings.listen.callers);
    return new Listeners(callers, peers);
  }

  /** Ends each connection after the requests that it has taken, or after its next one. */
  startClosing(): void {
    this.#callers.startClosing();
    this.#peers.startClosing();
  }

  /** Resolves when all requests have been answered, or after `answerTimeout` ms. */
  async finish(): Promise<void> {
    await Promise.all([
      this.#callers.finish(answerTimeout),
      this.#peers.finish(answerTimeout),
    ]);
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    await this.#peers.close();
    await this.#callers.close();
  }
}
