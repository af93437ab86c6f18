import { type Millis, millis } from "../clock.ts";
import type { DataCentre, Region } from "../ids.ts";
import type { BackendServer } from "./servers.ts";

/** Extra time of a request to another region or data centre, in ms. */
const otherRegionTime = millis(45);
const otherDataCentreTime = millis(3);

/** Where a node stands among the data centres. */
export type NodeLocation = {
  readonly dataCentre: DataCentre;
  readonly region: Region;
  readonly regionOf: (dataCentre: DataCentre) => Region | undefined;
};

/** How far a server is from a node. */
export type ServerPlace = "data-centre" | "region" | "other-region";

/** Finds how far a server is. */
export function findPlace(
  { dataCentre }: Pick<BackendServer, "dataCentre">,
  location: NodeLocation,
): ServerPlace {
  if (dataCentre === location.dataCentre) return "data-centre";
  return location.regionOf(dataCentre) === location.region
    ? "region"
    : "other-region";
}

/** Extra time of a request because of the way to its server and back, in ms. */
export function estimateDistance(
  server: Pick<BackendServer, "dataCentre">,
  location: NodeLocation,
): Millis {
  switch (findPlace(server, location)) {
    case "data-centre":
      return millis(0);
    case "region":
      return otherDataCentreTime;
    case "other-region":
      return otherRegionTime;
  }
}
