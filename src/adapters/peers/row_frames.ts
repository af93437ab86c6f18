import { z } from "zod";
import { brandNumber, type StoreEpoch } from "../../core/ids.ts";
import type { RowDelivery } from "../../ports/rows.ts";

const count = z.number().int().min(0);
const epoch = count.transform((value): StoreEpoch => brandNumber(value));
const duration = z.number().min(0);

/** What a node has of one topic. */
export const positionFrame = z.object({ epoch, newest: count });

/** Key, version and value in base64 of a row; a removed row has no value. */
const rowFrame = z.tuple([z.string().max(1_024), count, z.string().nullable()]);

/** A delivery of rows in the response of a node. */
export const deliveryFrame = z.object({
  topic: z.enum(["operator", "servers", "nodes"]),
  epoch,
  newest: count,
  base: count,
  isComplete: z.boolean(),
  age: duration,
  answerAge: duration,
  rows: z.array(rowFrame),
});

type DeliveryFrame = z.infer<typeof deliveryFrame>;

/** Encodes a delivery as JSON values. */
export function encodeDelivery(delivery: RowDelivery): DeliveryFrame {
  return {
    ...delivery,
    rows: delivery.rows.map(({ key, rowVersion, value }) => [
      key,
      rowVersion,
      value === undefined ? null : Buffer.from(value).toString("base64"),
    ]),
  };
}

/** Decodes a delivery. */
export function decodeDelivery(frame: DeliveryFrame): RowDelivery {
  return {
    ...frame,
    rows: frame.rows.map(([key, rowVersion, value]) => ({
      key,
      rowVersion,
      value: value === null ? undefined : Buffer.from(value, "base64"),
    })),
  };
}
