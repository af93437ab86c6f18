/** Keeps this process from handling events for a time in ms. */
export function standStill(duration: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, duration);
}
