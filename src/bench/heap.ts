import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Returns the bytes in use on the heap and in array buffers after a full garbage collection. */
export function measureHeap(): number {
  collectGarbage();
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
