import type { NodeId } from "../ids.ts";
import type { LiveNode } from "./state.ts";

/** Whether this node has the lowest id of the live nodes; it runs the tasks that only one node must run. */
export function isFirstNode(
  live: readonly LiveNode[],
  nodeId: NodeId,
): boolean {
  return live.every(({ node }) => node >= nodeId);
}
