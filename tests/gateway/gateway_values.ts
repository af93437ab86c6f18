import { millis } from "../../src/core/clock.ts";
import type { GatewayRoute } from "../../src/core/gateway/configuration.ts";
import {
  type Credential,
  createDirectory,
  type Organisation,
  type OrganisationDirectory,
} from "../../src/core/gateway/organisations.ts";
import type { BackendServer } from "../../src/core/gateway/servers.ts";
import {
  type AdapterName,
  brandString,
  type DataCentre,
  type Digest,
  type Region,
  type ServerId,
  type ServiceName,
  type SoftwareVersion,
} from "../../src/core/ids.ts";
import type { EntryOrigin } from "../../src/ports/gateway.ts";
import { model } from "./simulated_engine.ts";

/** Services, data centre and region of the nodes under test. */
export const booking: ServiceName = brandString("booking");
export const engines: ServiceName = brandString("engines");
export const dataCentre: DataCentre = brandString("tatry-a");
export const region: Region = brandString("tatry");

/** Origin of an entry that the node has just read from the store. */
export const entryOrigin: EntryOrigin = {
  rowVersion: 1,
  source: undefined,
  maxAge: 0,
};

/** Route to the booking service, with some fields of a test. */
export function createRoute(fields: Partial<GatewayRoute>): GatewayRoute {
  return {
    name: "route",
    host: "h.example",
    prefix: "/b/",
    retryRule: "once",
    resumable: false,
    timeout: millis(3_000),
    targetLatency: millis(200),
    priority: 0,
    maxAttempts: 2,
    targets: [{ service: booking, weight: 1 }],
    ...fields,
  };
}

/** Backend server of the booking service, with some fields of a test. */
export function createServer(fields: Partial<BackendServer>): BackendServer {
  return {
    id: brandString<ServerId>("s1"),
    service: booking,
    address: "10.0.0.1:80",
    dataCentre,
    softwareVersion: brandString<SoftwareVersion>("v1"),
    slots: 6,
    leaving: false,
    models: [],
    orderCount: 0,
    born: 1,
    ...fields,
  };
}

/** Engine that holds some adapters of one base model. */
export function createEngine(id: string, adapters: string[]): BackendServer {
  const held = adapters.map((name) => ({
    name: brandString<AdapterName>(name),
    version: 1,
  }));
  return createServer({
    id: brandString<ServerId>(id),
    service: engines,
    models: [{ name: model, version: 1, adapters: held }],
  });
}

/** Model demand of a request for one adapter. */
export function createDemand(adapter: string, parts: string[] = []) {
  return {
    model,
    adapter: brandString<AdapterName>(adapter),
    promptTokens: 500,
    answerTokens: 80,
    sharedParts: parts.map((part) => brandString<Digest>(part)),
  };
}

/** Organisation without a priority or quota of its own, with some fields of a test. */
export function createOrganisation(
  name: string,
  fields: Partial<Organisation> = {},
): Organisation {
  return {
    name: brandString(name),
    priority: undefined,
    quota: undefined,
    ...fields,
  };
}

/** Directory of organisations, each with the digests of its keys. */
export function createOrganisations(
  ...entries: readonly [Organisation, ...string[]][]
): OrganisationDirectory {
  return createDirectory(
    entries.map(([organisation, ...keys]) => ({
      organisation,
      keys: keys.map((key) => brandString(key)),
    })),
  ).unsafeCoerce();
}

/** Credential of a caller with the key of this digest. */
export function createCredential(digest: string): Credential {
  return { kind: "key", digest: brandString(digest) };
}
