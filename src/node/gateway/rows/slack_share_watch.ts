import type { NodeListRead } from "../../../core/gateway/slack_share.ts";
import type { GatewayContext } from "../context.ts";

/** Passes on what is read of the list of nodes to what follows it, and reports changes of the share in the retry slack. */
export class SlackShareWatch {
  readonly #context: GatewayContext;
  readonly #onRead: (read: NodeListRead) => void;
  #reported: number | undefined;

  private constructor(
    context: GatewayContext,
    onRead: (read: NodeListRead) => void,
  ) {
    this.#context = context;
    this.#onRead = onRead;
  }

  static create(
    context: GatewayContext,
    onRead: (read: NodeListRead) => void = () => {},
  ): SlackShareWatch {
    return new SlackShareWatch(context, onRead);
  }

  recordRead(read: NodeListRead): void {
    this.#context.slackShare.recordRead(read, this.#context.now());
    this.#onRead(read);
  }

  /** Reports the share if it has changed; it also ends without a read. */
  report(): void {
    const { slackShare, dependencies } = this.#context;
    const { part } = slackShare.find(this.#context.now());
    if (part === this.#reported) return;
    this.#reported = part;
    const nodes = slackShare.nodes ?? 0;
    const { journal, meter } = dependencies;
    meter.gauge("retry_slack_share", part);
    meter.gauge("retry_slack_nodes", nodes);
    journal.record("retrySlackShareChanged", { share: part, nodes });
  }
}
