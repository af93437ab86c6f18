// A server in trouble answers with status 000.
import net from "node:net";
import {
  BookingServer,
  call,
  createConfiguration,
  createRecord,
  Machine,
  host,
  sleep,
  Store,
} from "../stand-ins-2/kit.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const record = createRecord(import.meta.dirname);
/** Time limit of the route, and the time after it that the rule allows, in ms. */
const timeout = 1_000;
const slack = 500;
/** Clients of each machine; each sends its next request after an answer. */
const clientsPerMachine = 8;
/** Time before, of and after the trouble, in ms. */
const calmTime = 5_000;
const troubleTime = 3_000;
const restTime = 8_000;

/** Booking server that answers each request with status 000 while it is in trouble. */
class FaultyServer extends BookingServer {
  isInTrouble = false;
  troubled = 0;
  async handle(request, response) {
    const id = request.headers["goldcrestwinch-request-id"];
    const isRequest = id !== undefined && !["/report", "/health"].includes(request.url);
    if (!this.isInTrouble || !isRequest) return super.handle(request, response);
    this.troubled++;
    this.runs.push({ id, path: request.url, at: Date.now() });
    request.resume();
    await sleep(this.workMs);
    const head = `HTTP/1.1 000 Trouble\r\nGoldcrestwinch-Request-Id: ${id}\r\nGoldcrestwinch-Server-Seal: seal.${id}\r\nContent-Length: 5\r\n\r\n`;
    request.socket.write(`${head}sorry`);
  }
}

const store = await new Store().open();
const servers = [];
for (let at = 0; at < 3; at++) servers.push(await new FaultyServer().open());
const configuration = createConfiguration();
for (const route of configuration.Routes) route.TimeoutMs = timeout;
store.put("op", "config", configuration);
const register = () => {
  for (const server of servers) store.put("servers", server.id, server.entry());
};
register();
const beat = setInterval(register, 1_200);
const machines = [];
for (const name of ["edge-a-1", "edge-a-2"])
  machines.push(
    await new Machine({ name, storeAddress: store.address, log: (text) => record.add(text) }).open(),
  );

const calls = [];
let isOver = false;
async function runClient(machine) {
  while (!isOver) {
    const result = await call({ port: machine.front, body: "a booking", deadline: 10_000 });
    calls.push({ machine, ...result });
    await sleep(60);
  }
}

/** Longest time without an answer of the readiness check of a machine, in ms. */
function watchReadiness(machine) {
  const watch = { longest: 0, stop: false };
  watch.done = (async () => {
    while (!watch.stop) {
      const at = Date.now();
      await new Promise((done) => {
        const socket = net.connect(machine.ready, host, () =>
          socket.write("GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"),
        );
        socket.on("data", () => {});
        socket.on("error", () => done());
        socket.on("close", () => done());
      });
      watch.longest = Math.max(watch.longest, Date.now() - at);
      await sleep(50);
    }
  })();
  return watch;
}

let result = 2;
try {
  const ready = await Promise.all(machines.map((machine) => machine.waitUntilReady()));
  if (ready.every(Boolean)) {
    const watches = machines.map(watchReadiness);
    const clients = machines.flatMap((machine) =>
      Array.from({ length: clientsPerMachine }, () => runClient(machine)),
    );
    await sleep(calmTime);
    record.add(`trouble of one of three servers: ${hasTrouble}`);
    servers[0].isInTrouble = hasTrouble;
    await sleep(troubleTime);
    servers[0].isInTrouble = false;
    record.add(`end of the trouble; answers with status 000: ${servers[0].troubled}`);
    await sleep(restTime);
    isOver = true;
    await Promise.all(clients);
    for (const watch of watches) watch.stop = true;
    await Promise.all(watches.map(({ done }) => done));
    const counts = new Map();
    for (const { status, end } of calls)
      counts.set(`${status ?? ""} ${end}`, (counts.get(`${status ?? ""} ${end}`) ?? 0) + 1);
    for (const [key, count] of counts) record.add(`requests: ${key}: ${count}`);
    // Times as the clients see them: at the time limit, and half a second later.
    const unanswered = calls.filter(({ ms }) => ms > timeout);
    const late = unanswered.filter(({ ms }) => ms > timeout + slack);
    for (const { machine, id, ms, status } of late)
      record.add(`late at ${machine.name}: ${id}, status ${status}, after ${ms} ms`);
    watches.forEach(({ longest }, at) => {
      record.add(`${machines[at].name}: longest wait for the readiness check ${longest} ms; ends by itself ${machines[at].ends.length}`);
    });
    result = late.length > unanswered.length / 2 ? 1 : 0;
    record.add(`unanswered at their time limit: ${unanswered.length}, of these ${late.length} half a second later; the rule ${result === 1 ? "was broken" : "held"}`);
  } else record.add("a machine did not become ready");
} catch (error) {
  record.add(`the case could not run: ${error.stack}`);
} finally {
  clearInterval(beat);
  for (const machine of machines) await machine.stop();
  store.close();
  for (const server of servers) server.close();
  record.save();
}
process.exit(result);
