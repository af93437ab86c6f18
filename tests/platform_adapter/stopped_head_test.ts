import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { type TestContext, test } from "node:test";
import { HttpServerLinks } from "../../platform/server_links.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { EngineClient } from "../../src/adapters/backends/engine_client.ts";
import { ServiceClient } from "../../src/adapters/backends/service_client.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis, sleep } from "../../src/core/clock.ts";
import { brandString } from "../../src/core/ids.ts";
import { silentMeter } from "../../src/ports/journal.ts";
import { createServer as describeServer } from "../gateway/gateway_values.ts";

const clock = RealClock.create();
const id = "r1";

/** Heads of whole answers, which a server stops in; each caller would take the whole one. */
const heads = {
  empty: `HTTP/1.1 200 OK\r\ngoldcrestwinch-request-id: ${id}\r\ngoldcrestwinch-server-seal: s.1\r\nx-request-id: ${id}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`,
  closing: `HTTP/1.1 200 OK\r\nconnection: close\r\nx-request-id: ${id}\r\ngoldcrestwinch-request-id: ${id}\r\ngoldcrestwinch-server-seal: s.1\r\n\r\n`,
};

type HeadName = keyof typeof heads;
type Ending = "end" | "reset";

/** Caller of a server, whose call resolves to whether it took the answer for whole. */
type Caller = {
  call(): Promise<boolean>;
  close(): Promise<void> | void;
};

function createLinks(address: string): Caller {
  const links = HttpServerLinks.create({ clock, meter: silentMeter });
  const server = describeServer({ address });
  return {
    call: () =>
      new Promise((resolve) => {
        links.send(
          {
            request: {
              requestId: brandString(id),
              method: "POST",
              host: "h.example",
              target: "/b/x",
              path: "/b/x",
              headers: ["Goldcrestwinch-Request-Id", id],
              body: new Uint8Array(0),
              demand: undefined,
              deadline: millis(1_000),
              resumeAfter: undefined,
              arrivedAt: millis(0),
            },
            server,
            isRepeated: false,
            isAccepted: () => true,
            timeLeft: millis(1_000),
            adapterVersion: undefined,
            priority: undefined,
            resumeAfter: undefined,
          },
          {
            onHead() {},
            onBytes() {},
            onEnd: () => resolve(true),
            onFailure: () => resolve(false),
          },
        );
      }),
    close: () => links.endpointOf(server).close(),
  };
}

const callers: Record<string, (address: string) => Caller> = {
  "a platform's server": createLinks,
  "a booking service": (address) => {
    const options = { origin: `http://${address}`, clock, connections: 4 };
    const client = ServiceClient.create(options);
    const call = {
      method: "POST",
      path: "/x",
      requestId: brandString<never>(id),
      contentType: undefined,
      body: Buffer.alloc(0),
      timeout: millis(2_000),
    };
    return {
      call: async () => {
        const results = [true, false].map((repeatable) =>
          client.call({ ...call, repeatable } as never),
        );
        return (await Promise.all(results)).some((result) => result.isRight());
      },
      close: () => client.close(),
    };
  },
  "an engine": (address) => {
    const client = EngineClient.create({
      origin: `http://${address}`,
      clock,
      streams: 4,
    });
    return {
      call: async () => (await client.report()).isRight(),
      close: () => client.close(),
    };
  },
  "the platform's store": (address) => {
    const client = StoreClient.create({ address, clock, meter: silentMeter });
    const transaction = { expected: [], writes: [], removals: ["k"] };
    return {
      call: async () => {
        const read = await client.read("t");
        const write = await client.transact("t", transaction);
        return read.isRight() || write.isRight();
      },
      close() {},
    };
  },
};

/** Server that answers each request with some bytes and ends the connection. */
async function serve(context: TestContext, answer: (socket: Socket) => void) {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  context.after(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const { port } = server.address() as { port: number };
  return `127.0.0.1:${port}`;
}

for (const [name, create] of Object.entries(callers)) {
  for (const headName of Object.keys(heads) as HeadName[]) {
    for (const ending of ["end", "reset"] as Ending[]) {
      // Callers got a 200 with an empty body, framed as whole.
      test(`a head that ${name} stops in is no whole answer: ${headName}, ${ending}`, async (context) => {
        const head = heads[headName];
        let size = 0;
        const address = await serve(context, (socket) => {
          socket.write(head.slice(0, size));
          if (ending === "end") socket.end();
          else setImmediate(() => socket.resetAndDestroy());
        });
        const caller = create(address);
        for (size = 0; size < head.length; size++)
          assert.equal(
            await caller.call(),
            false,
            JSON.stringify(head.slice(0, size)),
          );
        await caller.close();
      });
    }
  }
}

// The rest of an earlier answer stands before the head on the connection.
test("a head that a server stops in behind the late bytes of an earlier answer is no whole answer", async (context) => {
  const whole = `HTTP/1.1 200 OK\r\ngoldcrestwinch-request-id: ${id}\r\ngoldcrestwinch-server-seal: s.1\r\ncontent-length: 2\r\n\r\nok`;
  const late = ["", "ok", "0\r\n\r\n", "\r\n", whole];
  for (const bytes of late) {
    for (const size of [0, 9, 20, 60, heads.empty.length - 2]) {
      let requests = 0;
      const address = await serve(context, (socket) => {
        requests++;
        socket.write(whole);
        socket.once("data", () => {
          requests++;
          // A second copy with the id of the request cannot be told from its answer.
          const earlier = bytes === whole ? whole.replace(id, "r0") : bytes;
          socket.end(earlier + heads.empty.slice(0, size));
        });
      });
      const caller = createLinks(address);
      assert.equal(await caller.call(), true);
      // The connection is used again once the first answer has been handled.
      await sleep(clock, millis(20));
      assert.equal(await caller.call(), false, JSON.stringify([bytes, size]));
      assert.equal(requests, 2);
      await caller.close();
    }
  }
});
