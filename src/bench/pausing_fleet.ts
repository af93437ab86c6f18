import { type Clock, type Millis, millis } from "../core/clock.ts";
import type { BackendServer } from "../core/gateway/servers.ts";
import {
  brandString,
  type ServerId,
  type ServiceName,
  type SoftwareVersion,
} from "../core/ids.ts";
import type {
  ServerLinks,
  ServerNotice,
  ServerNotices,
} from "../ports/gateway.ts";

/** One-way delay of a message, in ms. */
const messageDelay = 1;
/** Duration of a request at a server, the requests that it runs at a time, and the longest wait for a slot. */
const serviceTime = 50;
const slots = 8;
const maxQueueTime = 50;
/** Number of servers, of which a third is paused at any time. */
const serverCount = 9;
const groupCount = 3;
/** Time for which each third is paused in turn, in ms. */
const pauseLength = 2_000;

/** What became of one request at a server. */
export type Arrival = "served" | "paused" | "full";

/** Servers of one service, of which a third in turn wants no requests. */
export class PausingFleet implements ServerNotices {
  readonly servers: readonly BackendServer[];
  /** Requests that reached a server in its pause. */
  arrivalsInPause = 0;
  readonly #clock: Clock;
  /** Times at which the slots of each server become free. */
  readonly #slots = new Map<ServerId, number[]>();
  #listener: (server: BackendServer, notice: ServerNotice) => void = () => {};

  private constructor(clock: Clock, service: ServiceName) {
    this.#clock = clock;
    this.servers = Array.from({ length: serverCount }, (_, at) => ({
      id: brandString(`s${at}`),
      service,
      address: `10.0.0.${at}:80`,
      dataCentre: brandString("tatry-a"),
      softwareVersion: brandString<SoftwareVersion>("v1"),
      slots,
      leaving: false,
      models: [],
      orderCount: 0,
      born: 1,
    }));
  }

  static create(clock: Clock, service: ServiceName): PausingFleet {
    return new PausingFleet(clock, service);
  }

  follow(
    listener: (server: BackendServer, notice: ServerNotice) => void,
  ): void {
    this.#listener = listener;
  }

  /** Links of a node to the servers; refusals carry the notice of the pause. */
  createLinks(): ServerLinks {
    return {
      send: (request, sink) => {
        let isOpen = true;
        const { server } = request;
        this.#clock.schedule(millis(0), () => {
          if (!isOpen) return;
          if (!request.isAccepted())
            return sink.onFailure({ kind: "left", detail: "" });
          this.run(server, (arrival) => {
            if (!isOpen) return;
            if (arrival === "served") {
              const now = this.#clock.now();
              const times = { openedAt: now, sentAt: now };
              sink.onHead({ status: 200, headers: [] }, times);
              sink.onEnd("length");
              return;
            }
            if (arrival === "paused") this.#notify(server);
            sink.onFailure({ kind: "not-run", detail: arrival });
          });
        });
        return {
          cancel: () => {
            isOpen = false;
          },
          pause() {},
          resume() {},
        };
      },
      disconnect: () => {},
    };
  }

  /** Runs one request, or refuses it. */
  run({ id }: BackendServer, onAnswer: (arrival: Arrival) => void): void {
    const answerAfter = (delay: number, arrival: Arrival) =>
      this.#clock.schedule(millis(delay), () => onAnswer(arrival));
    this.#clock.schedule(millis(messageDelay), () => {
      if (this.#findPauseLeft(id) > 0) {
        this.arrivalsInPause++;
        return answerAfter(messageDelay, "paused");
      }
      const queueTime = this.#takeSlot(id);
      if (queueTime === undefined) return answerAfter(messageDelay, "full");
      answerAfter(queueTime + serviceTime + messageDelay, "served");
    });
  }

  /** Takes the slot that is free first; returns the time until then in ms, undefined if it is too long. */
  #takeSlot(id: ServerId): number | undefined {
    const now = this.#clock.now();
    const known = this.#slots.get(id) ?? new Array<number>(slots).fill(0);
    this.#slots.set(id, known);
    const first = known.indexOf(Math.min(...known));
    const start = Math.max(now, known[first] as number);
    if (start - now > maxQueueTime) return undefined;
    known[first] = start + serviceTime;
    return start - now;
  }

  #notify(server: BackendServer): void {
    const left = this.#findPauseLeft(server.id);
    if (left <= 0) return;
    const retryAfter = (left / 1_000).toFixed(3);
    this.#listener(server, { kind: "pause", retryAfter });
  }

  /** Time until the pause of a server ends, in ms; 0 if it has none. */
  #findPauseLeft(id: ServerId): Millis {
    const now = this.#clock.now();
    const turn = Math.floor(now / pauseLength);
    const group = Number(id.slice(1)) % groupCount;
    if (turn % groupCount !== group) return millis(0);
    return millis((turn + 1) * pauseLength - now);
  }
}
