/** What a node out of step does not reach: other nodes, also in one direction only, or the store. */
export type Cut = "others" | "to-others" | "from-others" | "store" | "all";

/** Whether a cut leaves the store within reach. */
export function reachesStore(cut: Cut | undefined): boolean {
  return cut !== "store" && cut !== "all";
}

/** Whether a message reaches its receiver, given how both nodes are cut off. */
export function isDelivered(
  sender: Cut | undefined,
  receiver: Cut | undefined,
): boolean {
  const isSent =
    sender === undefined || sender === "store" || sender === "from-others";
  const isReceived =
    receiver === undefined || receiver === "store" || receiver === "to-others";
  return isSent && isReceived;
}
