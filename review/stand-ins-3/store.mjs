// Stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
import { createServer } from "node:http";

export class Store {
  rows = new Map(); // table -> Map(key -> {key, version, value|undefined})
  version = 100;
  waiting = new Set();
  calls = 0;
  /** Hook: (request) => "drop" | "refuse" | undefined. */
  disturb = () => undefined;

  static async open(host = "127.0.0.1") {
    const store = new Store();
    store.server = createServer((request, response) => {
      let body = "";
      request.on("data", (chunk) => (body += chunk));
      request.on("end", () => store.answer(request, body, response));
    });
    store.server.keepAliveTimeout = 60_000;
    await new Promise((done) => store.server.listen(0, host, done));
    store.address = `${host}:${store.server.address().port}`;
    return store;
  }

  table(name) {
    if (!this.rows.has(name)) this.rows.set(name, new Map());
    return this.rows.get(name);
  }

  put(table, key, value) {
    this.version++;
    this.set(table, key, Buffer.from(JSON.stringify(value)).toString("base64"));
    this.wake();
  }

  drop(table, key) {
    this.version++;
    this.set(table, key, undefined);
    this.wake();
  }

  set(table, key, value) {
    this.table(table).set(key, { key, version: this.version, value });
  }

  wake() {
    for (const check of [...this.waiting]) check();
  }

  answer(request, body, response) {
    this.calls++;
    const effect = this.disturb(request);
    if (effect === "drop") return;
    if (effect === "refuse") return void response.writeHead(503).end();
    const url = new URL(request.url, "http://store");
    if (url.pathname === "/rows-tx") return this.transact(body, response);
    const table = this.table(url.searchParams.get("TableName") ?? "");
    if (url.pathname === "/rows-get") {
      const from = url.searchParams.get("From") ?? "";
      const to = url.searchParams.get("To");
      const limit = Math.min(500, Number(url.searchParams.get("Limit") ?? 500));
      const live = [...table.values()]
        .filter((r) => r.value !== undefined && r.key >= from && (!to || r.key < to))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return this.send(response, live.slice(0, limit), live.length > limit);
    }
    if (url.pathname !== "/rows-feed") return void response.writeHead(404).end();
    const after = Number(url.searchParams.get("after"));
    const wait = Math.min(30_000, Number(url.searchParams.get("WaitMs") ?? 0));
    const find = () =>
      [...table.values()].filter((r) => r.version > after).sort((a, b) => a.version - b.version);
    if (find().length > 0 || wait === 0) return this.send(response, find());
    const finish = () => {
      clearTimeout(timer);
      this.waiting.delete(check);
      this.send(response, find());
    };
    const check = () => find().length > 0 && finish();
    const timer = setTimeout(finish, wait);
    this.waiting.add(check);
    response.on("close", () => {
      clearTimeout(timer);
      this.waiting.delete(check);
    });
  }

  transact(body, response) {
    const { Expected = [], Writes = [], Remove = [] } = JSON.parse(body);
    const current = ({ TableName, Key }) => {
      const row = this.table(TableName).get(Key);
      return row?.value === undefined ? 0 : row.version;
    };
    const protectedTable = ({ TableName }) => TableName === "op" || TableName === "servers";
    if ([...Writes, ...Remove].some(protectedTable)) return void response.writeHead(403).end();
    if (!Expected.every((row) => current(row) === row.RowVersion)) {
      const rows = Expected.map((row) => this.table(row.TableName).get(row.Key)).filter(Boolean);
      return this.send(response, rows, false, 412);
    }
    this.version++;
    for (const { TableName, Key, Value } of Writes) this.set(TableName, Key, Value);
    for (const { TableName, Key } of Remove) this.set(TableName, Key, undefined);
    this.send(response, []);
    this.wake();
  }

  send(response, rows, hasMore = false, status = 200) {
    if (response.destroyed) return;
    const text = JSON.stringify({
      Rows: rows.map(({ key, version, value }) => ({
        Key: key,
        RowVersion: version,
        ...(value === undefined ? { Tombstone: true } : { Value: value }),
      })),
      HasMore: hasMore,
      RowVersion: this.version,
      NowMs: Math.floor(performance.now()),
    });
    // About 4 ms an answer.
    setTimeout(() => {
      response.writeHead(status, { "content-type": "application/json" });
      response.end(text);
    }, 4);
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}
