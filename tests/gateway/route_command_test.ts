import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { type TestContext, test } from "node:test";
import { createNodeServer } from "../../src/adapters/peers/node_router.ts";
import { parseRouteArguments } from "../../src/cli/route_arguments.ts";
import type { GatewayFixture } from "./gateway_fixture.ts";
import { createBookingFixture } from "./gateway_setups.ts";

const host = "127.0.0.1";
const refuseAll = () => Promise.reject(new Error("Not part of the test"));

/** Starts the peer listener of a gateway; returns its address. */
async function listen(
  context: TestContext,
  { gateway }: GatewayFixture,
): Promise<string> {
  const server = createNodeServer({
    acquire: refuseAll,
    requestModel: refuseAll,
    requestPermit: refuseAll,
    findStream: refuseAll,
    serve: refuseAll,
    dryRun: (query) => gateway.dryRun(query),
  });
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  context.after(() => server.close());
  return `${host}:${(server.address() as AddressInfo).port}`;
}

function runCommand(...args: string[]) {
  const main = ["--import", "tsx", "src/cli/main.ts", "route", ...args];
  const child = spawn(process.execPath, main);
  let stdout = "";
  let stderr = "";
  child.stdout.on("data", (chunk: Buffer) => {
    stdout += chunk;
  });
  child.stderr.on("data", (chunk: Buffer) => {
    stderr += chunk;
  });
  return new Promise<{ status: number | null; stdout: string; stderr: string }>(
    (resolve) =>
      child.on("close", (status) => resolve({ status, stdout, stderr })),
  );
}

// Guards against a command that shows something else than the node says, or sends the request.
test("the command prints the dry run of a node as text and as JSON", async (context) => {
  const fixture = await createBookingFixture();
  const address = await listen(context, fixture);
  const args = ["--node", address, "--host", "H.example", "--path", "/b/x?q"];
  const [text, json] = await Promise.all([
    runCommand(...args),
    runCommand(...args, "--json"),
  ]);
  assert.equal(text.status, 0, text.stderr);
  const lines = text.stdout.trim().split("\n");
  assert.equal(lines[0], `POST h.example/b/x at ${address}`);
  assert.equal(lines[1], "route route, revision 1, priority 0");
  assert.match(lines[2] ?? "", /^service booking, 100 % of the route: sent to/);
  assert.match(lines[3] ?? "", /^ {2}server s1 in tatry-a: usable, expected/);
  const query = { host: "h.example", path: "/b/x" };
  const expected = JSON.stringify(fixture.gateway.dryRun(query));
  assert.equal(json.stdout.trim(), expected);
  assert.equal(fixture.attempts.length, 0);
});

// Guards against failures without a number, or with the remedy of another one.
test("a node that does not answer, an older node and a bad argument each say what to do", async (context) => {
  // An older node does not know the call.
  const older = createServer((_request, response) => {
    const error = {
      message: "No procedure found",
      code: -32_004,
      data: { code: "NOT_FOUND", httpStatus: 404, path: "dryRun" },
    };
    response.writeHead(404, { "Content-Type": "application/json" });
    response.end(JSON.stringify({ error }));
  });
  await new Promise<void>((resolve) => older.listen(0, host, resolve));
  context.after(() => older.close());
  const { port } = older.address() as AddressInfo;
  const request = ["--host", "h.example", "--path", "/b/x"];
  const [closed, old, wrong] = await Promise.all([
    runCommand("--node", `${host}:1`, ...request),
    runCommand("--node", `${host}:${port}`, ...request),
    runCommand("--node", "nowhere", ...request),
  ]);
  assert.deepEqual([closed.status, old.status, wrong.status], [1, 1, 1]);
  assert.match(closed.stderr, /^6006 nodeUnreachable: 127\.0\.0\.1:1: /);
  assert.match(old.stderr, /version without dry runs\.\nRemedy: /);
  assert.match(wrong.stderr, /^6007 invalidArgument: --node: .*\nRemedy: /);
});

// Guards against arguments that are taken for something else than their users mean.
test("each invalid argument is named", () => {
  const valid = { node: "[::1]:7000", host: "h", path: "/" };
  const refuse = (fields: Parameters<typeof parseRouteArguments>[0]) =>
    parseRouteArguments({ ...valid, ...fields }).caseOf({
      Left: ({ code, detail }) => `${code} ${detail.split(":")[0]}`,
      Right: () => "valid",
    });
  assert.equal(refuse({}), "valid");
  assert.equal(refuse({ model: "m/a", tokens: "5,6" }), "valid");
  assert.equal(refuse({ node: "127.0.0.1:0" }), "invalidArgument --node");
  assert.equal(refuse({ host: "" }), "invalidArgument --host");
  assert.equal(refuse({ path: "x" }), "invalidArgument --path");
  assert.equal(refuse({ method: "a b" }), "invalidArgument --method");
  assert.equal(refuse({ model: "m/" }), "invalidArgument --model");
  assert.equal(refuse({ tokens: "1,2" }), "invalidArgument --tokens");
  assert.equal(refuse({ model: "m", tokens: "1" }), "invalidArgument --tokens");
  assert.equal(refuse({ organisation: "" }), "invalidArgument --organisation");
});
