import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  chooseEngine,
  chooseFromSheet,
  chooseLeastLoaded,
} from "../../src/core/routing/route.ts";
import { blockedLoadWait } from "../../src/core/routing/view.ts";
import {
  adapterOf,
  createContext,
  createRequest,
  createView,
  engineOf,
  otherRegion,
} from "./routing_fixture.ts";

const request = createRequest("chains");

function choose(...views: ReturnType<typeof createView>[]) {
  return chooseEngine(request, createContext(views)).extract();
}

test("a request goes to the idle engine that holds its adapter, not to an empty one", () => {
  const choice = choose(
    createView("empty"),
    createView("warm", { held: ["chains"] }),
  );
  assert.deepEqual(choice, {
    engine: "warm",
    expectedWait: 50,
    needsLoad: false,
  });
});

test("a request joins a load in progress instead of starting a second one at its home", () => {
  const names = ["a", "b", "c", "d"];
  const home = choose(...names.map((name) => createView(name)));
  assert.ok("engine" in home);
  const busy = names.find((name) => name !== home.engine) as string;
  const choice = choose(
    ...names.map((name) =>
      createView(name, { loading: name === busy ? ["chains"] : [] }),
    ),
  );
  assert.ok("engine" in choice);
  assert.equal(choice.engine, busy);
  assert.equal(choice.needsLoad, false);
});

test("a request does not wait for a warm engine much longer than a load takes", () => {
  const choice = choose(
    createView("empty"),
    createView("warm", { held: ["chains"], running: 4, queued: 4 }),
  );
  assert.equal("engine" in choice && choice.engine, "empty");
});

test("an engine that cannot load in a table outage gets no cold request", () => {
  const stuck = { loadWait: blockedLoadWait };
  const none = choose(createView("a", stuck), createView("b", stuck));
  assert.equal("code" in none && none.code, "noEngine");
  const other = choose(createView("a", stuck), createView("b"));
  assert.equal("engine" in other && other.engine, "b");
  const remote = choose(
    createView("a", stuck),
    createView("far", { region: otherRegion }),
  );
  assert.equal("engine" in remote && remote.engine, "far");
  const warm = choose(createView("a", { ...stuck, held: ["chains"] }));
  assert.equal("engine" in warm && warm.engine, "a");
});

test("of two warm engines the one with the shorter queue is chosen", () => {
  const choice = choose(
    createView("long", { held: ["chains"], running: 4, queued: 6 }),
    createView("short", { held: ["chains"], running: 4, queued: 1 }),
  );
  assert.equal("engine" in choice && choice.engine, "short");
});

test("requests sent since the view was received count against the engine", () => {
  const views = [
    createView("a", { held: ["chains"], running: 3 }),
    createView("b", { held: ["chains"], running: 4 }),
  ];
  const sent = { sentSince: (engine: string) => (engine === "a" ? 5 : 0) };
  const choice = chooseEngine(request, createContext(views, sent)).extract();
  assert.equal("engine" in choice && choice.engine, "b");
});

test("a slow, leaving, ownerless or tried engine gets no request while another can take it", () => {
  const tried = createRequest("chains", { tried: new Set([engineOf("e")]) });
  const views = [
    createView("a", { held: ["chains"], state: "slow" }),
    createView("b", { held: ["chains"], state: "leaving" }),
    createView("c", { held: ["chains"], owner: undefined }),
    createView("d"),
    createView("e", { held: ["chains"] }),
  ];
  const choice = chooseEngine(tried, createContext(views)).extract();
  assert.equal("engine" in choice && choice.engine, "d");
});

test("a slow engine that is due for a probe gets a request, so that its recovery is detected", () => {
  const views = [
    createView("slow", { held: ["chains"], state: "slow" }),
    createView("ok", { held: ["chains"] }),
  ];
  const context = createContext(views, { mayProbe: () => true });
  const choice = chooseEngine(request, context).extract();
  assert.equal("engine" in choice && choice.engine, "slow");
});

test("a busy slow engine is not probed, since its running requests show its speed", () => {
  const views = [
    createView("slow", { held: ["chains"], state: "slow", running: 1 }),
    createView("ok", { held: ["chains"] }),
  ];
  const context = createContext(views, { mayProbe: () => true });
  const choice = chooseEngine(request, context).extract();
  assert.equal("engine" in choice && choice.engine, "ok");
});

test("a request leaves its region only if the wait saved outweighs the traffic", () => {
  const remote = createView("remote", {
    held: ["chains"],
    region: otherRegion,
  });
  const brief = createView("local", {
    held: ["chains"],
    running: 4,
    serviceTime: millis(200),
  });
  const overloaded = { ...brief, queued: 20 };
  const near = choose(remote, brief);
  assert.equal("engine" in near && near.engine, "local");
  const far = choose(remote, overloaded);
  assert.equal("engine" in far && far.engine, "remote");
});

test("an engine that answers in time is preferred to a cheaper one that does not", () => {
  const urgent = createRequest("chains", {
    deadlineAt: millis(200),
    expectedTokens: 10_000,
  });
  const views = [
    createView("local", { held: ["chains"], running: 4 }),
    createView("remote", { held: ["chains"], region: otherRegion }),
  ];
  const choice = chooseEngine(urgent, createContext(views)).extract();
  assert.equal("engine" in choice && choice.engine, "remote");
});

test("cold requests for one adapter go to one home while its owner can load at once", () => {
  const names = ["a", "b", "c", "d", "e", "f"];
  const views = names.map((name) => createView(name));
  const first = choose(...views);
  assert.ok("engine" in first);
  assert.deepEqual(choose(...[...views].reverse()), first);
  const blocked = views.map((view) =>
    view.engine === first.engine ? { ...view, loadWait: millis(2000) } : view,
  );
  const second = choose(...blocked);
  assert.ok("engine" in second && second.engine !== first.engine);
});

test("without a usable engine every policy refuses as not run with a retry time", () => {
  for (const policy of [chooseEngine, chooseLeastLoaded, chooseFromSheet]) {
    const refusal = policy(request, createContext([])).extract();
    assert.ok("code" in refusal);
    assert.equal(refusal.code, "noEngine");
    assert.equal(refusal.outcome, "not-run");
    assert.ok((refusal.retryAfter ?? 0) > 0);
  }
});

test("the baselines ignore held adapters and follow the sheet, respectively", () => {
  const views = [
    createView("warm", { held: ["chains"], running: 1 }),
    createView("idle"),
  ];
  const least = chooseLeastLoaded(request, createContext(views)).extract();
  assert.equal("engine" in least && least.engine, "idle");
  const sheet = {
    sheetHomes: (key: string) =>
      key === adapterOf("chains") ? [engineOf("warm")] : [],
  };
  const placed = chooseFromSheet(
    request,
    createContext(views, sheet),
  ).extract();
  assert.equal("engine" in placed && placed.engine, "warm");
});
