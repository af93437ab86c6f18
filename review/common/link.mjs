// A path between machines and one server that can be cut, as TCP takes it: what a
// sender had written stays with its kernel, also after the sender has closed, and is
// sent again after 0.2, 0.6, 1.4, 3.0, 6.2 s and so on until it arrives. A connection
// that is opened during the cut does not come about, and what is written to it is lost.
import { connect, createServer } from "node:net";
import { host } from "./platform.mjs";

const firstRetry = 200;

export class Link {
  #server;
  #target;
  #isCut = false;
  #held = new Set();

  static async open(target) {
    const link = new Link();
    link.#target = target;
    link.#server = createServer({ allowHalfOpen: true, noDelay: true }, (socket) => link.#accept(socket));
    await new Promise((done) => link.#server.listen(0, host, done));
    return link;
  }

  get address() {
    return `${host}:${this.#server.address().port}`;
  }

  cut() {
    this.#isCut = true;
  }

  heal() {
    this.#isCut = false;
  }

  close() {
    this.#server.close();
  }

  #accept(near) {
    near.on("error", () => {});
    if (this.#isCut) {
      near.on("data", () => {});
      near.on("end", () => near.destroy());
      return;
    }
    const [, port] = this.#target.split(":");
    const far = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
    far.on("error", () => near.destroy());
    this.#carry(near, far);
    this.#carry(far, near);
  }

  /** Passes on what one end sends; in order, and during a cut not before a repetition after its end. */
  #carry(from, to) {
    const queue = [];
    let isWaiting = false;
    const flush = () => {
      isWaiting = false;
      while (queue.length > 0) {
        const { bytes, sentAt } = queue[0];
        if (this.#isCut) {
          const elapsed = performance.now() - sentAt;
          let next = firstRetry;
          while (next <= elapsed) next = 2 * next + firstRetry;
          isWaiting = true;
          setTimeout(flush, next - elapsed);
          return;
        }
        queue.shift();
        if (bytes === undefined) to.end();
        else to.write(bytes);
      }
    };
    const send = (bytes) => {
      queue.push({ bytes, sentAt: performance.now() });
      if (!isWaiting) flush();
    };
    from.on("data", (bytes) => send(bytes));
    from.on("end", () => send(undefined));
  }
}
