// Model server in a process of its own: node engine.mjs ID PORT SLOTS EVENTS GAP_MS.
// Its streams have neither a length nor chunks and end with their connection.
import http from "node:http";
import { host, sleep } from "./kit.mjs";

const [id, port, slots, events, gap] = process.argv.slice(2);
const born = Date.now();
let running = 0;
/** While it is set, requests are turned away with this `Retry-After`. */
let pause;
process.on("message", (message) => {
  pause = message.pause;
});
const tell = (message) => process.send?.({ at: Date.now(), ...message });

const server = http.createServer((request, response) => {
  request.resume();
  request.on("end", () => void handle(request, response));
});
server.keepAliveTimeout = 10_000;

async function handle(request, response) {
  const instance = { "Goldcrestwinch-Instance-Id": id };
  const expected = request.headers["goldcrestwinch-expect-instance"];
  if (expected !== undefined && expected !== id)
    return response.writeHead(421, instance).end();
  if (request.url === "/health") return response.writeHead(200, instance).end();
  if (request.url === "/report") {
    const report = {
      Stage: "both",
      Models: [{ Name: "m0", Version: 1, Adapters: [] }],
      Busy: false,
      Sequence: 0,
      Waiting: 0,
      Running: running,
      KvUsed: 0,
      KvTotal: 150_301,
      Handles: 0,
      born,
    };
    response.writeHead(200, { "Content-Type": "application/json" });
    return response.end(JSON.stringify(report));
  }
  if (request.url === "/order") return response.writeHead(409).end();
  const requestId = request.headers["goldcrestwinch-request-id"];
  const echo = { ...instance, "Goldcrestwinch-Request-Id": requestId };
  if (pause !== undefined || running >= Number(slots)) {
    tell({ event: "turned away", requestId, pause });
    const wait = pause === undefined ? {} : { "Retry-After": String(pause) };
    response.writeHead(503, { ...echo, ...wait, "Goldcrestwinch-Not-Executed": "1", "Content-Length": 0 });
    return response.end();
  }
  running++;
  tell({ event: "begins", requestId });
  const { socket } = request;
  socket.on("error", () => {});
  const head = Object.entries({
    ...echo,
    "Goldcrestwinch-Server-Seal": `seal.${requestId}`,
    "Content-Type": "text/event-stream",
    Connection: "close",
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  await sleep(80);
  socket.write(`HTTP/1.1 200 OK\r\n${head.join("")}\r\n`);
  for (let at = 1; at <= Number(events) && !socket.destroyed; at++) {
    socket.write(`id: ${at}\ndata: piece ${at} of ${events} of ${requestId}\n\n`);
    await sleep(Number(gap));
  }
  running--;
  tell({ event: socket.destroyed ? "left" : "ends", requestId });
  socket.end();
}

server.listen(Number(port), host, () => tell({ event: "listens" }));
