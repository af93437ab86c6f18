import { createSocket, type Socket } from "node:dgram";
import { Packr } from "msgpackr";
import { z } from "zod";
import type {
  EngineUsage,
  OwnerReport,
} from "../../core/gateway/engine_backlog.ts";
import { brandString } from "../../core/ids.ts";
import type { UsageChannel, UsageMessage } from "../../ports/gateway.ts";
import type { Journal } from "../../ports/journal.ts";

/** Maximum number of engines in one datagram, which keeps it below the usual path MTU. */
const enginesPerDatagram = 2;
const maxDatagramBytes = 1_400;

const name = z.string().min(1).max(256);
const count = z.number().int().min(0);
/** Adapter key, version and time until the adapter is ready, in ms. */
const availableAdapterFrame = z.tuple([name, count, count]);
/** A message as an array: type, sender, entries. */
const messageFrame = z.union([
  z.tuple([
    z.literal("use"),
    name,
    z.array(
      z.tuple([name, z.array(name), z.array(name), count, count, count, count]),
    ),
  ]),
  z.tuple([
    z.literal("load"),
    name,
    z.array(
      z.tuple([
        name,
        count,
        count,
        count,
        count,
        z.nullable(z.array(availableAdapterFrame)),
      ]),
    ),
  ]),
]);

/** Sends usage and owner reports between nodes over UDP; the next report replaces a lost one. */
export class UsageDatagrams implements UsageChannel {
  readonly #socket: Socket;
  readonly #packr = new Packr({ useRecords: false });
  #listener: (message: UsageMessage, from: string) => void = () => {};

  private constructor(options: {
    host: string;
    port: number;
    journal: Journal;
  }) {
    this.#socket = createSocket("udp4");
    this.#socket.on("error", (error) => {
      options.journal.record("useChannelFailed", { detail: error.message });
    });
    this.#socket.on("message", (frame, sender) => {
      const message = this.#decode(frame);
      if (message === undefined) return;
      this.#listener(message, `${sender.address}:${sender.port}`);
    });
    this.#socket.bind(options.port, options.host);
  }

  static create(options: {
    host: string;
    port: number;
    journal: Journal;
  }): UsageDatagrams {
    return new UsageDatagrams(options);
  }

  send(address: string, message: UsageMessage): void {
    const colon = address.lastIndexOf(":");
    const host = address.slice(0, colon);
    const port = Number(address.slice(colon + 1));
    for (const frame of this.#encode(message)) {
      if (frame.length > maxDatagramBytes) continue;
      // A send error is ignored because the next report replaces this one.
      this.#socket.send(frame, port, host, () => {});
    }
  }

  onMessage(listener: (message: UsageMessage, from: string) => void): void {
    this.#listener = listener;
  }

  close(): void {
    this.#socket.close();
  }

  #encode(message: UsageMessage): Buffer[] {
    const entries =
      message.type === "use"
        ? message.engines.map((usage) => [
            usage.engine,
            usage.ran,
            usage.queuedAdapters,
            usage.queuedRequests,
            usage.queuedTokens,
            usage.runningRequests,
            usage.contentsVersion,
          ])
        : message.engines.map(
            ({
              engine,
              requests,
              tokens,
              running,
              contentsVersion,
              availableAdapters,
            }) => [
              engine,
              requests,
              tokens,
              running,
              contentsVersion,
              availableAdapters?.map(({ key, version, readyIn }) => [
                key,
                version,
                readyIn,
              ]) ?? null,
            ],
          );
    const frames: Buffer[] = [];
    for (
      let at = 0;
      at === 0 || at < entries.length;
      at += enginesPerDatagram
    ) {
      const batch = entries.slice(at, at + enginesPerDatagram);
      frames.push(this.#packr.pack([message.type, message.from, batch]));
    }
    return frames;
  }

  /** Decodes a datagram; undefined if it is malformed. */
  #decode(frame: Buffer): UsageMessage | undefined {
    let content: unknown;
    try {
      content = this.#packr.unpack(frame);
    } catch {
      return undefined;
    }
    const parsed = messageFrame.safeParse(content);
    if (!parsed.success) return undefined;
    const [type, sender] = parsed.data;
    const from = brandString<UsageMessage["from"]>(sender);
    if (type === "use") {
      const engines = parsed.data[2].map(
        ([
          engine,
          ran,
          queuedAdapters,
          queuedRequests,
          queuedTokens,
          runningRequests,
          contentsVersion,
        ]): EngineUsage => ({
          engine: brandString(engine),
          ran: ran.map((key) => brandString(key)),
          queuedAdapters: queuedAdapters.map((key) => brandString(key)),
          queuedRequests,
          queuedTokens,
          runningRequests,
          contentsVersion,
        }),
      );
      return { type, from, engines };
    }
    const engines = parsed.data[2].map(
      ([
        engine,
        requests,
        tokens,
        running,
        contentsVersion,
        adapters,
      ]): OwnerReport => ({
        engine: brandString(engine),
        requests,
        tokens,
        running,
        contentsVersion,
        availableAdapters: adapters?.map(([key, version, readyIn]) => ({
          key: brandString(key),
          version,
          readyIn,
        })),
      }),
    );
    return { type, from, engines };
  }
}
