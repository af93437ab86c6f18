// Stand-in for a model server as a process of its own (PROTOCOL.md, "Servers", "Model placement").
// A sound one answers each stream with ten events, one each 100 ms. One in trouble spoils 45 % of its answers: it
// sends one event and then, until the caller closes, lines of an event that never ends, many at once and more each 50 ms.
import { createServer } from "node:http";

const [, , id, host, state] = process.argv;
/** Share of the answers that a server in trouble spoils. */
const spoiledShare = state === "faulty" ? 0.45 : 0;
let answers = 0;
const events = 10;
const line = "x\n";
const firstBytes = 200_000;
const bytesPerSecond = 4_000;
const stepMs = 50;
const firstLines = line.repeat(firstBytes / line.length);
const stepLines = line.repeat((bytesPerSecond * stepMs) / 1_000 / line.length);
const model = "daka510000";
const born = Date.now();
let seals = 0;
const tell = (event) => process.connected && process.send(event);

const report = JSON.stringify({
  Stage: "both", Models: [{ Name: model, Version: 1, Adapters: [] }], Busy: false, Sequence: 0, Waiting: 0,
  Running: 0, KvUsed: 0, KvTotal: 150301, Handles: 0, Incoming: [], born,
});

/** Answers a stream; the interval ends with the stream, or when the caller closes. */
function stream(request, response, echo) {
  response.writeHead(200, {
    ...echo, "goldcrestwinch-server-seal": `3e1b.07.${(++seals).toString(16)}.600.0.c9f2a4d1`,
    "goldcrestwinch-weight-versions": "1", "content-type": "text/event-stream",
  });
  answers++;
  const isSound = Math.floor(answers * spoiledShare) === Math.floor((answers - 1) * spoiledShare);
  tell({ kind: isSound ? "answers" : "spoils its answer to", id: request.headers["goldcrestwinch-request-id"] });
  let last = Number(request.headers["last-event-id"] ?? 0);
  const send = () => {
    response.write(`id: ${++last}\ndata: ${"token ".repeat(6)}\n\n`);
    if (last >= events) response.end();
  };
  send();
  if (!isSound) response.write(`data: ${firstLines}`);
  const timer = setInterval(isSound ? send : () => response.write(stepLines), isSound ? 100 : stepMs);
  response.on("error", () => {});
  response.on("close", () => {
    clearInterval(timer);
    tell({ kind: response.writableFinished ? "whole" : "closed by the caller", id: request.headers["goldcrestwinch-request-id"] });
  });
}

const server = createServer((request, response) => {
  request.resume();
  request.on("end", () => {
    const requestId = request.headers["goldcrestwinch-request-id"];
    const echo = requestId === undefined ? {} : { "goldcrestwinch-request-id": requestId };
    const expected = request.headers["goldcrestwinch-expect-instance"];
    const instance = { "goldcrestwinch-instance-id": id };
    if (expected !== undefined && expected !== id) return void response.writeHead(421, { ...echo, ...instance }).end();
    if (requestId !== undefined) {
      tell({ kind: "run", id: requestId });
      return stream(request, response, echo);
    }
    if (request.url === "/health") return void response.writeHead(200, instance).end();
    if (request.url === "/report") return void response.writeHead(200, { "content-type": "application/json" }).end(report);
    // The model is there already, so that an order to load it holds.
    if (request.url === "/order") return void response.writeHead(200).end();
    response.writeHead(404).end();
  });
});
server.keepAliveTimeout = 5_000;
server.listen(0, host, () => tell({ kind: "listening", address: `${host}:${server.address().port}`, born }));
process.on("disconnect", () => process.exit());
