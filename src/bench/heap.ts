import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as () => void;

/** Bytes in use on the heap and in buffers after a full collection. */
export function measureHeap(): number {
  collect();
  collect();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
