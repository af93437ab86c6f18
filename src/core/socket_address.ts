const octet = "(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
const pattern = new RegExp(`^${octet}(?:\\.${octet}){3}:(\\d{1,5})$`);

/** Highest TCP and UDP port. */
const maxPort = 65_535;

/** Whether a text is an IPv4 address and a port that can be connected to, as `IP:PORT`. */
export function isSocketAddress(text: string): boolean {
  const port = Number(pattern.exec(text)?.[1] ?? 0);
  return port >= 1 && port <= maxPort;
}
