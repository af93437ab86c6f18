import type {
  MachineName,
  RequestId,
  ServiceName,
  SoftwareVersion,
} from "../core/ids.ts";

/** News of the software version that began a stream. */
export type StreamMessage = {
  readonly type: "stream";
  readonly from: MachineName;
  /** Request that brought the first event. */
  readonly id: RequestId;
  readonly service: ServiceName;
  /** The unknown version while it is open which one that was. */
  readonly version: SoftwareVersion;
};

/** Question which software version began a stream. */
export type StreamQuery = Pick<StreamMessage, "id" | "service">;
