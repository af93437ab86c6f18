import type { Either } from "purify-ts";
import { z } from "zod";
import type { Machine, MachineList } from "../../ports/machines.ts";
import {
  PlatformClient,
  type PlatformClientOptions,
} from "./platform_client.ts";

const machineList = z.array(
  z.object({
    name: z.string(),
    role: z.enum(["entry", "engine", "service"]),
    address: z.string(),
    state: z.enum(["live", "leaving"]),
  }),
);

/** HTTP client of the platform's list of VMs. */
export class MachinesClient implements MachineList {
  readonly #client: PlatformClient;

  constructor(options: PlatformClientOptions) {
    this.#client = PlatformClient.create("machines", options);
  }

  static create(options: PlatformClientOptions): MachinesClient {
    return new MachinesClient(options);
  }

  list(): Promise<Either<{ readonly detail: string }, readonly Machine[]>> {
    return this.#client.call({ method: "GET", path: "/machines" }, (body) =>
      machineList.parse(JSON.parse(body.toString())),
    );
  }

  /** Closes all connections, including those in use. */
  close(): Promise<void> {
    return this.#client.close();
  }
}
