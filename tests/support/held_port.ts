import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createServer } from "node:net";

const host = "127.0.0.1";

/** Holds a TCP port; returns a function that frees it. */
export async function holdTcpPort(port: number): Promise<() => Promise<void>> {
  const server = createServer((socket) => socket.destroy());
  server.listen(port, host);
  await once(server, "listening");
  return async () => {
    server.close();
    await once(server, "close");
  };
}

/** Holds a UDP port; returns a function that frees it. */
export async function holdUdpPort(port: number): Promise<() => Promise<void>> {
  const socket = createSocket("udp4");
  socket.bind(port, host);
  await once(socket, "listening");
  return async () => {
    socket.close();
    await once(socket, "close");
  };
}
