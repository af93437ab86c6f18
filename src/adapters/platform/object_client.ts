import type { Either } from "purify-ts";
import type { ObjectFailure, ObjectStore } from "../../ports/objects.ts";
import {
  PlatformClient,
  type PlatformClientOptions,
  type PlatformFailure,
} from "./platform_client.ts";

/** Object store over HTTP. */
export class ObjectClient implements ObjectStore {
  readonly #caller: PlatformClient;

  constructor(options: PlatformClientOptions) {
    this.#caller = PlatformClient.create("objects", options);
  }

  static create(options: PlatformClientOptions): ObjectClient {
    return new ObjectClient(options);
  }

  async get(key: string): Promise<Either<ObjectFailure, Uint8Array>> {
    const path = toPath(key);
    const content = await this.#caller.call(
      { method: "GET", path },
      (body): Uint8Array => body,
    );
    return content.mapLeft(toObjectFailure);
  }

  async put(
    key: string,
    content: Uint8Array,
  ): Promise<Either<ObjectFailure, void>> {
    const path = toPath(key);
    const done = await this.#caller.call(
      { method: "PUT", path, body: content },
      () => undefined,
    );
    return done.mapLeft(toObjectFailure);
  }

  /** Breaks all connections. */
  close(): Promise<void> {
    return this.#caller.close();
  }
}

function toPath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}

/** A repeated put is harmless, so a lost answer counts as unavailable. */
function toObjectFailure({ kind, detail }: PlatformFailure): ObjectFailure {
  return { kind: kind === "missing" ? "missing" : "unavailable", detail };
}
