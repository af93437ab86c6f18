import { setTimeout as sleep } from "node:timers/promises";
import { configuration, lookupRoute } from "../rig/installation.ts";
import type { Disturbance } from "./disturbances.ts";
import { draw } from "./draws.ts";

/** Time between two changes of the keys, in ms. */
const keyChangeTime = 8_000;

/** Configuration with other limits and a route more. */
const changedConfiguration = {
  ...configuration,
  Routes: [
    ...configuration.Routes.map((route) => ({
      ...route,
      TimeoutMs: route.TimeoutMs + 1_000,
    })),
    { ...lookupRoute, Name: "spare", Prefix: "/spare/" },
  ],
  Limits: { ...configuration.Limits, IdleTimeoutMs: 12_000 },
};

/** The operator changes time limits and adds a route, and takes this back. */
export const changeConfiguration: Disturbance = async (scene) => {
  const { installation, keys, random } = scene;
  for (const content of [changedConfiguration, configuration]) {
    installation.publish(keys?.configure(content) ?? content);
    await sleep(draw(random, 200, 2_000));
  }
};

/** The operator takes a key away and gives it back. */
const changeKeys: Disturbance = async ({ installation, keys }) => {
  if (keys === undefined || !keys.isChangingKeyValid) return;
  for (const isValid of [false, true]) {
    keys.change(isValid);
    installation.publish(keys.configure(configuration));
    await sleep(keyChangeTime);
  }
};

/** Kinds of disturbances that need machines which know keys. */
export const keyChanges: Readonly<Record<string, Disturbance>> = {
  changeKeys,
};
