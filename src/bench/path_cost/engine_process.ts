/** Process of the path-cost benchmark that runs the simulated engine. */
import { RealClock } from "../../adapters/time/real_clock.ts";
import { millis } from "../../core/clock.ts";
import { brandNumber, brandString } from "../../core/ids.ts";
import { EngineServer } from "../../standins/engine_server.ts";
import { EngineSimulator } from "../../standins/engine_simulator.ts";
import { WeightStore } from "../../standins/weight_store.ts";
import { serveChild } from "./child.ts";
import { benchAdapter, benchLimits } from "./setup.ts";

serveChild<{ stepTime: number }>(async ({ stepTime }) => {
  const clock = RealClock.create();
  const engine = EngineSimulator.create({
    id: "engine-1",
    clock,
    store: WeightStore.create(clock),
    limits: benchLimits,
    stepTime,
    stepGrowth: 0,
  });
  await engine.load({
    adapter: brandString(benchAdapter),
    fence: brandNumber(0),
    validUntil: millis(Number.POSITIVE_INFINITY),
  });
  const host = await EngineServer.create(engine, { clock });
  return { origins: { direct: host.origin } };
});
