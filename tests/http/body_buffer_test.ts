import assert from "node:assert/strict";
import { test } from "node:test";
import { BlockPool, BodyBuffer } from "../../src/adapters/http/body_buffer.ts";

const pool = () => BlockPool.create(1024 * 1024);

// Guards against bytes that are lost or swapped where blocks meet.
test("a body is the same in chunks of any size", () => {
  const content = Buffer.from(
    Array.from({ length: 300_000 }, (_, at) => at % 251),
  );
  for (const size of [1, 7, 1_023, 4_096, 70_000, 300_000]) {
    const body = BodyBuffer.create(pool());
    for (let at = 0; at < content.length; at += size)
      body.push(content.subarray(at, at + size));
    assert.ok(body.take().equals(content), `chunks of ${size} bytes`);
  }
  assert.equal(BodyBuffer.create(pool()).take().length, 0);
});

// Guards against small chunks that cost many times the bytes that they bring.
test("small chunks take little more memory than their bytes", () => {
  const body = BodyBuffer.create(pool());
  const count = 200_000;
  let taken = 0;
  for (let at = 0; at < count; at++) taken += body.push(Buffer.from("x"));
  assert.ok(taken >= count, `${taken} bytes`);
  assert.ok(taken < 1.5 * count, `${taken} bytes`);
});

// Guards against a block that two bodies write to.
test("a block is used by one body at a time, and again after it", () => {
  const shared = pool();
  const chunk = (text: string) => Buffer.alloc(64 * 1024, text);
  const first = BodyBuffer.create(shared);
  for (const text of "ab") first.push(chunk(text));
  const second = BodyBuffer.create(shared);
  for (const text of "cd") second.push(chunk(text));
  const content = first.take();
  first.clear();
  const third = BodyBuffer.create(shared);
  for (const text of "ef") third.push(chunk(text));
  assert.ok(content.equals(Buffer.concat([chunk("a"), chunk("b")])));
  assert.ok(second.take().equals(Buffer.concat([chunk("c"), chunk("d")])));
  assert.ok(third.take().equals(Buffer.concat([chunk("e"), chunk("f")])));
});
