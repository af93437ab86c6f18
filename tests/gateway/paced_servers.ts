import type { NodeLocation } from "../../src/core/gateway/server_distance.ts";
import type { BackendServer } from "../../src/core/gateway/servers.ts";
import {
  brandString,
  type Region,
  type ServiceName,
} from "../../src/core/ids.ts";

/** A node in the data centre of the servers. */
export const location: NodeLocation = {
  dataCentre: brandString("e1-a"),
  region: brandString("e1"),
  regionOf: (dataCentre) => brandString<Region>(dataCentre.slice(0, 2)),
};

/** Service of the servers. */
export const service = brandString<ServiceName>("s");

/** Creates a server; by default it stands in the data centre of {@link location}. */
export function createServer(
  id: string,
  options: {
    readonly slots?: number;
    readonly dataCentre?: string;
    readonly born?: number;
  } = {},
): BackendServer {
  const { slots = 6, dataCentre = "e1-a", born = 1 } = options;
  return {
    id: brandString(id),
    service,
    address: "10.0.0.1:80",
    dataCentre: brandString(dataCentre),
    softwareVersion: undefined,
    slots,
    leaving: false,
    models: [],
    orderCount: 0,
    born,
  };
}

/** Data centres of the simulations: two in each region. */
export const dataCentres = ["r1-a", "r1-b", "r2-a", "r2-b", "r3-a", "r3-b"];

/** Location of a node in one of the data centres. */
export function locate(dataCentre: number): NodeLocation {
  const regionOf = (name: string) => brandString<Region>(name.slice(0, 2));
  const name = dataCentres[dataCentre] as string;
  return { dataCentre: brandString(name), region: regionOf(name), regionOf };
}
