import { type Millis, millis } from "../../core/clock.ts";
import type { BackendServer, Incarnation } from "../../core/gateway/servers.ts";
import type {
  LeavingMessage,
  NodeChannel,
  ServerNotice,
} from "../../ports/gateway.ts";
import type { GatewayContext } from "./context.ts";
import type { InstallationTracker } from "./installation_tracker.ts";

/** Delays after which the news that a server leaves is repeated, since datagrams may be lost, in ms. */
const repeatDelays: readonly Millis[] = [100, 400, 1_000].map(millis);

type NoticeHandlerOptions = {
  readonly context: GatewayContext;
  readonly installation: InstallationTracker;
  readonly channel: NodeChannel;
  /** Peer addresses of all other nodes. */
  readonly listAddresses: () => readonly string[];
};

/** Applies what servers say about themselves in their answers, and tells the other nodes which ones leave. */
export class NoticeHandler {
  readonly #options: NoticeHandlerOptions;
  /** Servers whose leaving this node still repeats to the others. */
  readonly #announced = new Set<BackendServer["id"]>();

  private constructor(options: NoticeHandlerOptions) {
    this.#options = options;
  }

  static create(options: NoticeHandlerOptions): NoticeHandler {
    return new NoticeHandler(options);
  }

  /** Applies a notice in the head of a server's answer. */
  receive(server: BackendServer, notice: ServerNotice): void {
    const { context, installation } = this.#options;
    if (notice.kind === "pause")
      return context.availability.recordPause(server, notice.retryAfter);
    if (installation.recordLeaving(server, "answer")) this.#announce(server);
  }

  /** Applies the news of another node; this node need not repeat it any more. */
  receiveLeaving({ from, incarnation }: LeavingMessage): void {
    this.#announced.delete(incarnation.id);
    this.#options.installation.recordLeaving(incarnation, from);
  }

  #announce({ id, born }: Incarnation): void {
    const { clock } = this.#options.context.dependencies;
    this.#announced.add(id);
    this.#send({ id, born });
    for (const delay of repeatDelays) {
      clock.schedule(delay, () => {
        if (this.#announced.has(id)) this.#send({ id, born });
      });
    }
    const last = repeatDelays.at(-1) as Millis;
    clock.schedule(last, () => this.#announced.delete(id));
  }

  #send(incarnation: Incarnation): void {
    const { context, channel, listAddresses } = this.#options;
    const { machine: from } = context.dependencies.identity;
    const message: LeavingMessage = { type: "leaving", from, incarnation };
    for (const address of listAddresses()) channel.send(address, message);
  }
}
