import type { NodeMessage } from "../../../ports/nodes.ts";
import type { UsageReporter } from "../engines/usage_reporter.ts";
import type { QuotaManager } from "../quotas/quota_manager.ts";
import type { PoisonGuard } from "../requests/poison_guard.ts";
import type { WaitQueues } from "../requests/wait_queues.ts";
import type { OverloadTracker } from "../servers/overload_tracker.ts";
import type { PaceExchange } from "../servers/pace_exchange.ts";
import type { StreamKeeper } from "../streams/stream_keeper.ts";
import type { NoticeHandler } from "./notice_handler.ts";
import type { RelayPeers } from "./relay_peers.ts";

/** Tasks that handle the messages of other nodes. */
export type MessageHandlers = {
  readonly usage: UsageReporter;
  readonly paces: PaceExchange;
  readonly queues: WaitQueues;
  readonly notices: NoticeHandler;
  readonly overloads: OverloadTracker;
  readonly quotas: QuotaManager;
  readonly relays: RelayPeers;
  readonly streams: StreamKeeper;
  readonly guard: PoisonGuard;
};

/** Passes a message of another node, with the address that it came from, to the task that handles it. */
export type MessageRouter = (message: NodeMessage, address: string) => void;

/** Creates the router of the messages of other nodes. */
export function createMessageRouter(handlers: MessageHandlers): MessageRouter {
  const { usage, paces, queues, notices, overloads } = handlers;
  const { quotas, relays, streams, guard } = handlers;
  return (message, address) => {
    switch (message.type) {
      case "use":
        usage.receive(message, address);
        return paces.tell(message.from, address);
      case "load":
        usage.receive(message, address);
        return queues.notifyAll();
      case "leaving":
        return notices.receiveLeaving(message);
      case "limit":
        return notices.receiveLimit(message);
      case "pace":
        return paces.receiveReport(message);
      case "paces":
        return paces.receiveNews(message);
      case "calls":
        return overloads.receiveCalls(message);
      case "overload":
        return overloads.receiveOverload(message);
      case "credit":
        return quotas.receive(message);
      case "reach":
        return relays.receive(message);
      case "stream":
        return streams.receive(message);
      case "poison":
      case "crashes":
      case "trial":
        return guard.receive(message);
    }
  };
}
