// Stand-in for a server as a process of its own, which a test can kill. Requests are answered by path:
//   /.../long/N    a body of N lines without a length, a line each 100 ms; it ends with its connection
//   anything else  200 with a length
import { createServer } from "node:net";

const [, , id, host, port = "0"] = process.argv;
const born = Date.now();
let seals = 0;
const seal = () => `3e1b.07.${(++seals).toString(16)}.600.0.c9f2a4d1`;
const tell = (event) => process.connected && process.send(event);

export const line = (n) => `{"line":${n},"text":"${"chain set ".repeat(8)}"}\n`;

function answer(socket, { method, path, headers }) {
  const requestId = headers["goldcrestwinch-request-id"];
  const send = (status, fields, body) =>
    socket.write(
      `HTTP/1.1 ${status}\r\n${fields.map((field) => `${field}\r\n`).join("")}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
  const expected = headers["goldcrestwinch-expect-instance"];
  const echo = requestId === undefined ? [] : [`Goldcrestwinch-Request-Id: ${requestId}`];
  if (expected !== undefined && expected !== id)
    return send("421 Misdirected Request", [...echo, `Goldcrestwinch-Instance-Id: ${id}`], "");
  if (requestId === undefined) {
    if (path === "/health") return send("200 OK", [`Goldcrestwinch-Instance-Id: ${id}`], "");
    if (path === "/report") {
      tell({ kind: "report", born });
      const report = { Stage: "both", Models: [], Busy: false, Sequence: 0, Waiting: 0, Running: 0, KvUsed: 0, KvTotal: 0, Handles: 0, born };
      return send("200 OK", ["Content-Type: application/json"], JSON.stringify(report));
    }
    tell({ kind: "other", method, path });
    return send("404 Not Found", [], "");
  }
  tell({ kind: "run", id: requestId, path });
  const long = /\/long\/(\d+)$/.exec(path);
  if (long === null)
    return send("200 OK", [...echo, `Goldcrestwinch-Server-Seal: ${seal()}`], "done\n");
  const count = Number(long[1]);
  socket.write(
    `HTTP/1.1 200 OK\r\n${echo[0]}\r\nGoldcrestwinch-Server-Seal: ${seal()}\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n`,
  );
  let sent = 0;
  const timer = setInterval(() => {
    socket.write(line(sent++));
    if (sent < count) return;
    clearInterval(timer);
    tell({ kind: "whole", id: requestId });
    socket.end();
  }, 100);
  socket.once("close", () => clearInterval(timer));
}

if (id !== undefined) {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    let rest = Buffer.alloc(0);
    socket.on("data", (bytes) => {
      rest = Buffer.concat([rest, bytes]);
      for (;;) {
        const end = rest.indexOf("\r\n\r\n");
        if (end < 0) return;
        const [first, ...fields] = rest.subarray(0, end).toString("latin1").split("\r\n");
        const [method, path] = first.split(" ");
        const headers = Object.fromEntries(
          fields.map((field) => [field.slice(0, field.indexOf(":")).toLowerCase(), field.slice(field.indexOf(":") + 1).trim()]),
        );
        const length = Number(headers["content-length"] ?? 0);
        if (rest.length < end + 4 + length) return;
        rest = rest.subarray(end + 4 + length);
        answer(socket, { method, path, headers });
      }
    });
  });
  server.listen(Number(port), host, () => tell({ kind: "listening", address: `${host}:${server.address().port}`, born }));
  process.on("disconnect", () => process.exit());
}
