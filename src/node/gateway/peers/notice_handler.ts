import { type Millis, millis } from "../../../core/clock.ts";
import type {
  BackendServer,
  Incarnation,
} from "../../../core/gateway/servers.ts";
import type { ServerNotice } from "../../../ports/gateway.ts";
import type { LeavingMessage, NodeChannel } from "../../../ports/nodes.ts";
import type { LimitMessage } from "../../../ports/permits.ts";
import type { GatewayContext } from "../context.ts";
import type { InstallationTracker } from "../servers/installation_tracker.ts";

/** Delays after which the news that a server leaves is repeated, since datagrams may be lost, in ms. */
const repeatDelays: readonly Millis[] = [100, 400, 1_000].map(millis);

/** Minimum time between two messages of this node about the limit of one server, in ms. */
const limitInterval = 500;

type NoticeHandlerOptions = {
  readonly context: GatewayContext;
  readonly installation: InstallationTracker;
  readonly channel: NodeChannel;
  /** Peer addresses of all other nodes. */
  readonly listAddresses: () => readonly string[];
};

/** Applies what servers say about themselves in their answers, and tells the other nodes which ones leave or have a limit. */
export class NoticeHandler {
  readonly #options: NoticeHandlerOptions;
  /** Servers whose leaving this node still repeats to the others. */
  readonly #announced = new Set<BackendServer["id"]>();
  /** Time of the latest message of this node about the limit of each server. */
  readonly #limitSentAt = new Map<BackendServer["id"], Millis>();

  private constructor(options: NoticeHandlerOptions) {
    this.#options = options;
  }

  static create(options: NoticeHandlerOptions): NoticeHandler {
    return new NoticeHandler(options);
  }

  /** Applies a notice in the head of a server's answer. */
  receive(server: BackendServer, notice: ServerNotice): void {
    const { context, installation } = this.#options;
    const { limits } = context.availability;
    switch (notice.kind) {
      case "pause":
        return context.availability.recordPause(server, notice.retryAfter);
      case "brittle":
        return context.availability.recordTolerance(server, notice.value);
      case "sturdy":
        return context.availability.forgetTolerance(server);
      case "limit":
        if (limits.recordValue(server, notice.value)) this.#sendLimit(server);
        return;
      case "no-limit":
        if (limits.recordAbsence(server, notice.sentAt))
          this.#sendLimit(server);
        return;
      case "leaving":
        if (installation.recordLeaving(server, "answer"))
          this.#announce(server);
    }
  }

  /** Applies what another node learned of the limit of a server. */
  receiveLimit({ from, server, rate, age }: LimitMessage): void {
    const { context } = this.#options;
    const observedAt = millis(context.now() - age);
    context.availability.limits.recordNews(server, { rate, observedAt }, from);
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

  /** Tells the other nodes of a limit; one that misses it hears it from the server, or with a permit. */
  #sendLimit({ id, born }: Incarnation): void {
    const { context } = this.#options;
    const observed = context.availability.limits.findLast({ id, born });
    if (observed === undefined) return;
    const now = context.now();
    const sentAt = this.#limitSentAt.get(id) ?? Number.NEGATIVE_INFINITY;
    if (now < sentAt + limitInterval) return;
    for (const [other, at] of this.#limitSentAt)
      if (now >= at + limitInterval) this.#limitSentAt.delete(other);
    this.#limitSentAt.set(id, now);
    const { machine: from } = context.dependencies.identity;
    const { rate, observedAt } = observed;
    const age = millis(now - observedAt);
    this.#broadcast({ type: "limit", from, server: { id, born }, rate, age });
  }

  #send(incarnation: Incarnation): void {
    const { machine: from } = this.#options.context.dependencies.identity;
    this.#broadcast({ type: "leaving", from, incarnation });
  }

  #broadcast(message: LeavingMessage | LimitMessage): void {
    const { channel, listAddresses } = this.#options;
    for (const address of listAddresses()) channel.send(address, message);
  }
}
