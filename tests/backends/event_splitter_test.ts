import assert from "node:assert/strict";
import { test } from "node:test";
import { EventSplitter } from "../../src/adapters/http/event_splitter.ts";

const source = [
  "data: {}\n\n",
  ": waiting\n\n",
  'data: {"a":"[DONE]"}\n\n',
  'event: x\ndata: "ü"\n\n',
  ": \n\n",
  "data: [DONE]\n\n",
  "data: late\n\n",
];
const events = [source[0], source[2], source[3]].join("");

test("events stay whole wherever the stream is cut into chunks", () => {
  const bytes = Buffer.from(source.join(""));
  for (let first = 0; first < bytes.length; first++) {
    for (let second = first; second < bytes.length; second += 7) {
      const splitter = EventSplitter.create();
      let text = "";
      let count = 0;
      for (const [from, to] of [
        [0, first],
        [first, second],
        [second, bytes.length],
      ]) {
        const split = splitter.push(bytes.subarray(from, to));
        assert.ok(split);
        text += split.bytes;
        count += split.count;
        assert.ok(split.count === 0 || split.bytes.toString().endsWith("\n\n"));
        if (split.done) break;
      }
      assert.equal(text, events);
      assert.equal(count, 3);
    }
  }
});

test("an event that never ends is rejected at the size limit", () => {
  const splitter = EventSplitter.create();
  const piece = Buffer.alloc(512 * 1024, "a");
  assert.ok(splitter.push(piece));
  assert.ok(splitter.push(piece));
  assert.equal(splitter.push(piece), undefined);
});
