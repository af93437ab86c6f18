import { Packr } from "msgpackr";
import { z } from "zod";
import { millis } from "../../core/clock.ts";
import type {
  EngineUsage,
  OwnerReport,
} from "../../core/gateway/engine_backlog.ts";
import type { Incarnation } from "../../core/gateway/servers.ts";
import { brandString, type Digest, type MachineName } from "../../core/ids.ts";
import { crashLimit } from "../../core/poison/record.ts";
import type { LeavingMessage, NodeMessage } from "../../ports/nodes.ts";
import type { LimitMessage } from "../../ports/permits.ts";
import type { StreamMessage } from "../../ports/streams.ts";
import { creditFrame, decodeCredit, encodeCredit } from "./credit_frames.ts";

/** Maximum number of engines in one datagram, which keeps it below the usual path MTU. */
const enginesPerDatagram = 2;

/** Maximum number of units in the announcement of a trial. */
const maxTrialUnits = 64;

/** Maximum number of servers in a message about their paces. */
const maxPaces = 64;

const name = z.string().min(1).max(256);
/** Empty for a version that is not known. */
const version = z.string().max(256);
const count = z.number().int().min(0);
const born = z.nullable(z.number().int());
/** Adapter key, version and time until the adapter is ready, in ms. */
const availableAdapterFrame = z.tuple([name, count, count]);
const usageFrame = z.tuple([
  name,
  z.array(name),
  z.array(name),
  count,
  count,
  count,
  count,
]);
const ownerReportFrame = z.tuple([
  name,
  count,
  count,
  count,
  count,
  z.nullable(z.array(availableAdapterFrame)),
]);
/** Natural logarithm of the slowness of a server, in hundredths. */
const slowness = z.number().int().min(-300).max(300);
const crashListFrame = z.array(name).max(crashLimit);
/** A message as an array: type, sender, entries or fields. */
const messageFrame = z.union([
  z.tuple([z.literal("use"), name, z.array(usageFrame)]),
  z.tuple([z.literal("load"), name, z.array(ownerReportFrame)]),
  z.tuple([z.literal("poison"), name, name, crashListFrame, crashListFrame]),
  z.tuple([z.literal("crashes"), name, name, crashListFrame, crashListFrame]),
  z.tuple([z.literal("trial"), name, z.array(name).max(maxTrialUnits), count]),
  z.tuple([z.literal("leaving"), name, name, born]),
  z.tuple([z.literal("reach"), name, z.boolean()]),
  z.tuple([z.literal("pace"), name, name, born, slowness, count.min(1)]),
  z.tuple([
    z.literal("paces"),
    name,
    z.array(z.tuple([name, born, slowness])).max(maxPaces),
  ]),
  z.tuple([z.literal("calls"), name, name, born, count]),
  z.tuple([z.literal("overload"), name, name, born, count]),
  z.tuple([z.literal("stream"), name, name, name, version]),
  z.tuple([
    z.literal("limit"),
    name,
    name,
    born,
    z.nullable(z.number().positive()),
    count,
  ]),
  creditFrame,
]);

const packr = new Packr({ useRecords: false });

/** Encodes a message as one datagram or more. */
export function encodeNodeMessage(message: NodeMessage): Buffer[] {
  switch (message.type) {
    case "use":
      return encodeEntries(message, message.engines.map(encodeUsage));
    case "load":
      return encodeEntries(message, message.engines.map(encodeOwnerReport));
    case "poison":
    case "crashes": {
      const { type, from, digest, record } = message;
      const { crashes, cleared } = record;
      return [packr.pack([type, from, digest, crashes, cleared])];
    }
    case "trial": {
      const { type, from, units, duration } = message;
      return [packr.pack([type, from, units, duration])];
    }
    case "reach": {
      const { type, from, isLost } = message;
      return [packr.pack([type, from, isLost])];
    }
    case "leaving": {
      const { type, from, incarnation } = message;
      const { id, born } = incarnation;
      return [packr.pack([type, from, id, born ?? null])];
    }
    case "pace": {
      const { type, from, server, logSlowness, answers } = message;
      const { id, born } = server;
      const hundredths = Math.round(logSlowness * 100);
      return [packr.pack([type, from, id, born ?? null, hundredths, answers])];
    }
    case "paces": {
      const { type, from, servers } = message;
      const frames = servers.map(({ server: { id, born }, logSlowness }) => [
        id,
        born ?? null,
        Math.round(logSlowness * 100),
      ]);
      return [packr.pack([type, from, frames])];
    }
    case "calls": {
      const { type, from, server, calls } = message;
      return [packr.pack([type, from, server.id, server.born ?? null, calls])];
    }
    case "overload": {
      const { type, from, server, load } = message;
      return [packr.pack([type, from, server.id, server.born ?? null, load])];
    }
    case "stream": {
      const { type, from, id, service, version } = message;
      return [packr.pack([type, from, id, service, version])];
    }
    case "limit": {
      const { type, from, server, rate, age } = message;
      const { id, born } = server;
      const wholeAge = Math.round(age);
      const frame = [type, from, id, born ?? null, rate ?? null, wholeAge];
      return [packr.pack(frame)];
    }
    case "credit":
      return [packr.pack(encodeCredit(message))];
  }
}

function encodeEntries(
  { type, from }: { readonly type: string; readonly from: MachineName },
  entries: readonly unknown[],
): Buffer[] {
  const frames: Buffer[] = [];
  for (let at = 0; at === 0 || at < entries.length; at += enginesPerDatagram) {
    const batch = entries.slice(at, at + enginesPerDatagram);
    frames.push(packr.pack([type, from, batch]));
  }
  return frames;
}

function encodeUsage(usage: EngineUsage): unknown[] {
  return [
    usage.engine,
    usage.ran,
    usage.queuedAdapters,
    usage.queuedRequests,
    usage.queuedTokens,
    usage.runningRequests,
    usage.contentsVersion,
  ];
}

function encodeOwnerReport(report: OwnerReport): unknown[] {
  const adapters = report.availableAdapters?.map(
    ({ key, version, readyIn }) => [key, version, readyIn],
  );
  return [
    report.engine,
    report.requests,
    report.tokens,
    report.running,
    report.contentsVersion,
    adapters ?? null,
  ];
}

/** Decodes a datagram; undefined if it is malformed. */
export function decodeNodeMessage(frame: Buffer): NodeMessage | undefined {
  let content: unknown;
  try {
    content = packr.unpack(frame);
  } catch {
    return undefined;
  }
  const parsed = messageFrame.safeParse(content);
  if (!parsed.success) return undefined;
  const { data } = parsed;
  const from = brandString<MachineName>(data[1]);
  switch (data[0]) {
    case "use":
      return { type: "use", from, engines: data[2].map(decodeUsage) };
    case "load":
      return { type: "load", from, engines: data[2].map(decodeOwnerReport) };
    case "poison":
    case "crashes": {
      const [type, , digest, crashes, cleared] = data;
      const record = { crashes, cleared };
      return { type, from, digest: brandString(digest), record };
    }
    case "trial": {
      const [type, , names, duration] = data;
      const units = names.map((unit) => brandString<Digest>(unit));
      return { type, from, units, duration: millis(duration) };
    }
    case "reach": {
      const [type, , isLost] = data;
      return { type, from, isLost };
    }
    case "leaving": {
      const [type, , id, born] = data;
      const incarnation = { id: brandString(id), born: born ?? undefined };
      return { type, from, incarnation } as LeavingMessage;
    }
    case "pace": {
      const [type, , id, born, hundredths, answers] = data;
      const server = readIncarnation(id, born);
      return { type, from, server, logSlowness: hundredths / 100, answers };
    }
    case "paces": {
      const [type, , frames] = data;
      const servers = frames.map(([id, born, hundredths]) => ({
        server: readIncarnation(id, born),
        logSlowness: hundredths / 100,
      }));
      return { type, from, servers };
    }
    case "calls": {
      const [type, , id, born, calls] = data;
      return { type, from, server: readIncarnation(id, born), calls };
    }
    case "overload": {
      const [type, , id, born, load] = data;
      return { type, from, server: readIncarnation(id, born), load };
    }
    case "stream": {
      const [type, , id, service, version] = data;
      const stream = {
        id: brandString<StreamMessage["id"]>(id),
        service: brandString<StreamMessage["service"]>(service),
        version: brandString<StreamMessage["version"]>(version),
      };
      return { type, from, ...stream };
    }
    case "limit": {
      const [type, , id, born, rate, age] = data;
      const server = { id: brandString(id), born: born ?? undefined };
      const observed = { rate: rate ?? undefined, age: millis(age) };
      return { type, from, server, ...observed } as LimitMessage;
    }
    case "credit":
      return decodeCredit(data);
  }
}

function readIncarnation(id: string, born: number | null): Incarnation {
  return { id: brandString(id), born: born ?? undefined };
}

function decodeUsage([
  engine,
  ran,
  queuedAdapters,
  queuedRequests,
  queuedTokens,
  runningRequests,
  contentsVersion,
]: z.infer<typeof usageFrame>): EngineUsage {
  return {
    engine: brandString(engine),
    ran: ran.map((key) => brandString(key)),
    queuedAdapters: queuedAdapters.map((key) => brandString(key)),
    queuedRequests,
    queuedTokens,
    runningRequests,
    contentsVersion,
  };
}

function decodeOwnerReport([
  engine,
  requests,
  tokens,
  running,
  contentsVersion,
  adapters,
]: z.infer<typeof ownerReportFrame>): OwnerReport {
  return {
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
  };
}
