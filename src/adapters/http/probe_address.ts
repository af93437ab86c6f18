import { connect } from "node:net";
import type { Millis } from "../../core/clock.ts";

/** Tries to open a TCP connection to `IP:PORT`, and closes it; resolves to whether it was opened within `timeout` ms. */
export function probeAddress(
  address: string,
  timeout: Millis,
): Promise<boolean> {
  const at = address.lastIndexOf(":");
  const [host, port] = [address.slice(0, at), Number(address.slice(at + 1))];
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const end = (isOpen: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isOpen);
    };
    const timer = setTimeout(() => end(false), timeout);
    socket.on("connect", () => end(true));
    socket.on("error", () => end(false));
  });
}
