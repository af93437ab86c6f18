import assert from "node:assert/strict";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { type TestContext, test } from "node:test";
import { Right } from "purify-ts";
import { createCallerServer } from "../../src/adapters/callers/caller_server.ts";
import { InFlightLimiter } from "../../src/adapters/callers/in_flight_limiter.ts";
import { digestKey } from "../../src/adapters/keys/api_key.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import type { OrganisationDirectory } from "../../src/core/gateway/organisations.ts";
import { brandString } from "../../src/core/ids.ts";
import type { FrontEndPort } from "../../src/ports/front_end.ts";
import { silentMeter } from "../../src/ports/journal.ts";
import {
  createOrganisation,
  createOrganisations,
} from "../gateway/gateway_values.ts";
import { RawConnection } from "../support/raw_connection.ts";

/** Front end that records the customers of the calls that it serves. */
function recordCustomers(customers: string[]): FrontEndPort {
  return {
    openDraft({ customer }, sink) {
      customers.push(customer);
      sink.onEnd();
      return { cancel() {}, pause() {}, resume() {} };
    },
    async callService({ customer }) {
      customers.push(customer);
      return Right({
        status: 200,
        contentType: undefined,
        body: Buffer.from("ok"),
        outcome: "ran",
        replayed: false,
      });
    },
    listModels: () => [brandString("fitting@3")],
    checkReadiness: () => undefined,
  };
}

async function open(context: TestContext, first: OrganisationDirectory) {
  let organisations = first;
  const customers: string[] = [];
  const server = createCallerServer({
    front: recordCustomers(customers),
    clock: RealClock.create(),
    meter: silentMeter,
    limits: InFlightLimiter.create({ inFlight: 9, inFlightPerCaller: 9 }),
    listOrganisations: () => organisations,
    readMetrics: async () => "",
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const replace = (next: OrganisationDirectory) => {
    organisations = next;
  };
  return { port, customers, replace };
}

const north = createOrganisation("north");
const south = createOrganisation("south");
const organisations = createOrganisations(
  [north, digestKey("secret-north")],
  [south, digestKey("secret-south")],
);

// Guards against callers who take the share of another customer by naming it.
test("the customer of a call is the organisation of its key, whatever the caller names", async (context) => {
  const { port, customers } = await open(context, organisations);
  const origin = `http://127.0.0.1:${port}`;
  const messages = [{ role: "user", content: "Which chain fits?" }];
  const body = JSON.stringify({ model: "fitting", messages });
  for (const [path, key] of [
    ["/services/booking/orders", "secret-north"],
    ["/v1/chat/completions", "secret-south"],
  ]) {
    const headers = { "x-api-key": key as string, "x-customer": "other" };
    const call = { method: "POST", headers, body };
    assert.equal((await fetch(`${origin}${path}`, call)).status, 200);
  }
  assert.deepEqual(customers, ["north", "south"]);
});

test("calls without a known key get 401 with a numbered result code that does not repeat the key", async (context) => {
  const { port, customers } = await open(context, organisations);
  const origin = `http://127.0.0.1:${port}`;
  const cases: readonly [Record<string, string>, number][] = [
    [{}, 1010],
    [{ "x-api-key": "secret-other" }, 1010],
    [{ "x-api-key": "secret north" }, 1011],
    [{ "x-api-key": "" }, 1011],
  ];
  for (const [headers, code] of cases) {
    for (const path of ["/services/booking/orders", "/v1/models"]) {
      const answer = await fetch(`${origin}${path}`, { headers });
      const text = await answer.text();
      assert.equal(answer.status, 401);
      assert.equal(JSON.parse(text).error.code, code);
      assert.doesNotMatch(text, /secret/);
    }
  }
  assert.deepEqual(customers, []);
  assert.equal((await fetch(`${origin}/readyz`)).status, 200);
});

test("a key that is taken away ends with the next call on the same connection", async (context) => {
  const { port, replace } = await open(context, organisations);
  const connection = await RawConnection.open(port);
  const call = async () => {
    const { length } = connection.received;
    connection.write(
      "GET /v1/models HTTP/1.1\r\nHost: node\r\nX-Api-Key: secret-north\r\n\r\n",
    );
    await connection.waitUntil(() => connection.received.length > length);
    return connection.received.slice(length, length + 12);
  };
  assert.equal(await call(), "HTTP/1.1 200");
  replace(createOrganisations([south, digestKey("secret-south")]));
  assert.equal(await call(), "HTTP/1.1 401");
  connection.destroy();
});
