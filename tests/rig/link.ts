import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

const host = "127.0.0.1";
/** Time after which TCP first repeats what was not acknowledged, in ms; it doubles each time. */
const firstRepetition = 200;
/** Interval at which a cut link is checked, in ms. */
const checkInterval = 10;

type Piece = { readonly bytes: Buffer | undefined; readonly sentAt: number };

/**
 * Path to a TCP address that can be cut. What a sender had written is repeated
 * after 0.2, 0.6, 1.4 s and so on, also after the sender has closed; a connection
 * that is opened during the cut does not come about.
 */
export class Link {
  readonly #server: Server;
  readonly #target: number;
  #port = 0;
  #isCut = false;

  private constructor(target: number) {
    this.#target = target;
    const options = { allowHalfOpen: true, noDelay: true };
    this.#server = createServer(options, (socket) => this.#accept(socket));
  }

  /** Opens a path to `IP:PORT` of this machine. */
  static async open(target: string): Promise<Link> {
    const link = new Link(Number(target.split(":")[1]));
    link.#server.listen(0, host);
    await once(link.#server, "listening");
    link.#port = (link.#server.address() as AddressInfo).port;
    return link;
  }

  get address(): string {
    return `${host}:${this.#port}`;
  }

  cut(): void {
    this.#isCut = true;
  }

  /** As `cut`, and refuses new connections. */
  cutAndRefuse(): void {
    this.cut();
    this.#server.close();
  }

  heal(): void {
    this.#isCut = false;
    if (!this.#server.listening) this.#server.listen(this.#port, host);
  }

  close(): void {
    this.#server.close();
  }

  #accept(near: Socket): void {
    near.on("error", () => {});
    if (this.#isCut) {
      near.resume();
      near.on("end", () => near.destroy());
      return;
    }
    const options = { allowHalfOpen: true, noDelay: true };
    const far = connect({ host, port: this.#target, ...options });
    far.on("error", () => near.resetAndDestroy());
    near.on("error", () => far.resetAndDestroy());
    this.#carry(near, far);
    this.#carry(far, near);
  }

  /** Carries what one end writes, in order; pauses it while the other end does not read. */
  #carry(from: Socket, to: Socket): void {
    const queue: Piece[] = [];
    let isWaiting = false;
    const flush = () => {
      isWaiting = false;
      for (let piece = queue[0]; piece !== undefined; piece = queue[0]) {
        if (this.#isCut) {
          isWaiting = true;
          const delay = findRepetition(performance.now() - piece.sentAt);
          setTimeout(flush, Math.max(checkInterval, delay));
          return;
        }
        queue.shift();
        if (piece.bytes === undefined) to.end();
        else if (!to.write(piece.bytes)) {
          from.pause();
          to.once("drain", () => from.resume());
        }
      }
    };
    const send = (bytes: Buffer | undefined) => {
      queue.push({ bytes, sentAt: performance.now() });
      if (!isWaiting) flush();
    };
    from.on("data", send);
    from.on("end", () => send(undefined));
  }
}

/** Time from `elapsed` after a send until its next repetition, in ms. */
function findRepetition(elapsed: number): number {
  let next = firstRepetition;
  while (next <= elapsed) next = 2 * next + firstRepetition;
  return next - elapsed;
}
