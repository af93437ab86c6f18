// A link between machines: a proxy that can cut the path silently. What either end sends during
// a cut, its end included, arrives once the link has healed, as TCP sends it again.
import { connect, createServer } from "node:net";

export class Link {
  isCut = false;
  #waiting = [];
  sockets = new Set();

  static async open(target, host = "127.0.0.1") {
    const link = new Link();
    link.target = target;
    link.server = createServer({ allowHalfOpen: true }, (near) => link.#join(near));
    await new Promise((done) => link.server.listen(0, host, done));
    link.address = `${host}:${link.server.address().port}`;
    return link;
  }

  /** Carries an event from one end to the other now, or when the link has healed. */
  #carry(action) {
    if (this.isCut) this.#waiting.push(action);
    else action();
  }

  #join(near) {
    this.sockets.add(near);
    near.on("error", () => {});
    near.on("close", () => this.sockets.delete(near));
    this.#carry(() => {
      const [host, port] = this.target.split(":");
      const far = connect({ host, port: Number(port), allowHalfOpen: true });
      this.sockets.add(far);
      far.on("close", () => this.sockets.delete(far));
      for (const [from, to] of [[near, far], [far, near]]) {
        from.on("data", (bytes) => this.#carry(() => to.write(bytes)));
        from.on("end", () => this.#carry(() => to.end()));
        from.on("error", () => this.#carry(() => to.resetAndDestroy()));
        from.on("close", () => this.#carry(() => to.destroySoon()));
      }
    });
  }

  cut() {
    this.isCut = true;
  }

  heal() {
    this.isCut = false;
    for (const action of this.#waiting.splice(0)) action();
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
