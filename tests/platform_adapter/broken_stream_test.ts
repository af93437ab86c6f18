import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, test } from "node:test";
import { FrontFixture, type RawResponse } from "./front_fixture.ts";
import {
  chunk,
  echo,
  lastChunk,
  type RawAnswer,
  refusal,
  streamHead,
} from "./raw_server.ts";

const id = "r1";
const sealed = `${echo(id)}goldcrestwinch-server-seal: s.2\r\n`;
const eventStream = "content-type: text/event-stream\r\n";
const delivered = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const resumable = {
  retryRule: "stream" as const,
  resumable: true,
  maxAttempts: 2,
};

let fixture: FrontFixture | undefined;

afterEach(async () => {
  await fixture?.close();
  fixture = undefined;
});

/** Breaks off after two events, within the third one. */
function breakOff(socket: Socket): void {
  socket.write(`${streamHead(id)}${chunk(`${delivered}id: 3\nda`)}`);
  setTimeout(() => socket.destroy(), 20);
}

/** Answers the first attempt with a stream that breaks off, and the next ones with the bytes. */
async function callBroken(
  bytes: string,
  options: { first?: (socket: Socket) => void; version?: string } = {},
): Promise<RawResponse> {
  const { first = breakOff, version } = options;
  let attempts = 0;
  const answer: RawAnswer = (_, socket) => {
    if (attempts++ === 0) first(socket);
    else socket.end(bytes);
  };
  fixture = await FrontFixture.create(resumable, answer, answer);
  return fixture.call(id, version === undefined ? {} : { version });
}

function withLength(head: string, body: string): string {
  return `HTTP/1.1 ${head}content-length: ${body.length}\r\n\r\n${body}`;
}

function stream(events: string): string {
  return streamHead(id) + chunk(events) + lastChunk;
}

test("a broken stream goes on where it was broken off", async () => {
  const rest = "id: 3\ndata: c\n\n";
  const { body, isComplete } = await callBroken(stream(rest));
  assert.equal(body, delivered + rest);
  assert.ok(isComplete);
});

const error = '{"error":"failed"}\n\n';
const answers: Record<string, string> = {
  "500": withLength(`500 Internal Server Error\r\n${echo(id)}`, error),
  "500 without an id": withLength("500 Internal Server Error\r\n", error),
  "404": withLength(`404 Not Found\r\n${echo(id)}`, error),
  "302": withLength(`302 Found\r\n${echo(id)}location: /c\r\n`, error),
  refusal: refusal(id),
  "success of another content type": withLength(
    `200 OK\r\n${sealed}content-type: application/json\r\n`,
    error,
  ),
  "204": `HTTP/1.1 204 No Content\r\n${sealed}\r\n`,
  "206": withLength(
    `206 Partial Content\r\n${sealed}${eventStream}`,
    "id: 3\ndata: c\n\n",
  ),
  "event without an id": stream(`event: error\ndata: ${error}`),
  "stream from the first event": stream(`${delivered}id: 3\ndata: c\n\n`),
  "stream from the last event": stream("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
  "stream that ends within an event": stream("id: 3\ndata: c"),
  "stream cut off within a chunk": `${streamHead(id)}ff\r\nid: 3\nda`,
  "head within the first head": "HTTP/1.1 200 OK\r\nHTTP/1.1 500 Error\r\n\r\n",
  "text that is no answer": "failed\r\n\r\n",
};

// Guards against the text of an error in the middle of a caller's stream, against events
// that come twice, and against a stream that ends as if it were complete.
for (const [name, bytes] of Object.entries(answers)) {
  test(`a broken stream takes nothing from a second answer that cannot continue it: ${name}`, async () => {
    const { status, body, isComplete } = await callBroken(bytes);
    assert.equal(status, 200);
    assert.equal(body, delivered);
    assert.equal(isComplete, false);
  });
}

// Guards against events that come twice, since no id says after which one to resume.
for (const [name, events] of Object.entries({
  "no event has an id": "data: a\n\ndata: b\n\n",
  "the last event has no id": "id: 1\ndata: a\n\ndata: b\n\n",
})) {
  test(`a broken stream is not resumed if ${name}`, async () => {
    const { body, isComplete } = await callBroken(
      stream("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
      {
        first: (socket) => {
          socket.write(streamHead(id) + chunk(events));
          setTimeout(() => socket.destroy(), 20);
        },
      },
    );
    assert.equal(body, events);
    assert.equal(isComplete, false);
  });
}

// Guards against a length of the first answer that the rest from another server does not
// keep, so that the caller would take its bytes for another answer, or wait for more.
test("a resumed stream has no length, as its first answer may have had another one", async () => {
  const rest = "id: 3\ndata: longer than before\n\n";
  const { head, body, isComplete } = await callBroken(stream(rest), {
    first: (socket) => {
      socket.write(
        `HTTP/1.1 200 OK\r\n${sealed}${eventStream}content-length: 60\r\n\r\n${delivered}`,
      );
      setTimeout(() => socket.destroy(), 20);
    },
  });
  assert.doesNotMatch(head, /content-length/i);
  assert.equal(body, delivered + rest);
  assert.ok(isComplete);
});

// Guards against a regular end of the connection, which completes an answer without a
// length or chunks.
test("a stream that is broken off for good is reset for a caller that reads up to the end of the connection", async () => {
  const { body, isComplete } = await callBroken(answers["500"] as string, {
    version: "1.0",
  });
  assert.equal(body, delivered);
  assert.equal(isComplete, false);
});

// Guards against an error of a second server as the body of an answer whose head has
// been forwarded.
test("a stream that breaks off before its first event takes nothing from an error", async () => {
  const { body, isComplete } = await callBroken(answers["500"] as string, {
    first: (socket) => {
      socket.write(streamHead(id));
      setTimeout(() => socket.destroy(), 20);
    },
  });
  assert.equal(body, "");
  assert.equal(isComplete, false);
});

// Guards against a second run of a stream that may run only once.
test("a broken stream that may not be resumed is sent to no second server", async () => {
  const answer: RawAnswer = (_, socket) => breakOff(socket);
  const route = { ...resumable, resumable: false };
  fixture = await FrontFixture.create(route, answer, answer);
  const { body, isComplete } = await fixture.call(id);
  assert.equal(body, `${delivered}id: 3\nda`);
  assert.equal(isComplete, false);
  const attempts = fixture.servers.flatMap(({ ids }) => ids);
  assert.deepEqual(attempts, [id]);
});
