import type { Either } from "purify-ts";
import type { ObjectFailure, ObjectStore } from "../../ports/objects.ts";
import {
  PlatformClient,
  type PlatformClientOptions,
  type PlatformFailure,
} from "./platform_client.ts";

/** HTTP client of the platform's object store. */
export class ObjectClient implements ObjectStore {
  readonly #client: PlatformClient;

  constructor(options: PlatformClientOptions) {
    this.#client = PlatformClient.create("objects", options);
  }

  static create(options: PlatformClientOptions): ObjectClient {
    return new ObjectClient(options);
  }

  async get(key: string): Promise<Either<ObjectFailure, Uint8Array>> {
    const path = toPath(key);
    const content = await this.#client.call(
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
    const result = await this.#client.call(
      { method: "PUT", path, body: content },
      () => undefined,
    );
    return result.mapLeft(toObjectFailure);
  }

  /** Closes all connections, including those in use. */
  close(): Promise<void> {
    return this.#client.close();
  }
}

function toPath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}

/** A put is idempotent, so a lost response counts as unavailable. */
function toObjectFailure({ kind, detail }: PlatformFailure): ObjectFailure {
  return { kind: kind === "missing" ? "missing" : "unavailable", detail };
}
