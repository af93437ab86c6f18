/** What one process may use of its machine; undefined: not known. */
export type MachineLimits = {
  /** Memory, in bytes. */
  readonly memory?: number | undefined;
  /** Number of open descriptors. */
  readonly descriptors?: number | undefined;
};

/** Limits on what a node holds for all of its callers together. */
export type CallerLimits = {
  /** Bytes of bodies, answers and requests sent ahead. */
  readonly heldBytes: number;
  /** Number of open connections. */
  readonly connections: number;
};

const megabyte = 1024 * 1024;
/** Limits of a machine that is large enough, or not known. */
const maxHeldBytes = 128 * megabyte;
const maxConnections = 2_500;
/** Memory of a process that holds nothing for callers, with room for its garbage. */
const processBytes = 120 * megabyte;
/** Part of the remaining memory for what is held, and for connections. */
const heldPart = 0.3;
const connectionPart = 0.5;
/** Memory of a connection with a head and a small body, in bytes. */
const connectionBytes = 32 * 1024;
/** Least that is held, so that a body of the largest usual size is served on any machine. */
const minHeldBytes = 12 * megabyte;
const minConnections = 64;
/** Descriptors that are not for sockets. */
const fileDescriptors = 200;
/** Part of the sockets for callers; the others are for servers, the store and other nodes. */
const callerPart = 0.6;

/** Limits for callers that follow from those of the machine. */
export function findCallerLimits(machine: MachineLimits): CallerLimits {
  const { memory = Infinity, descriptors = Infinity } = machine;
  const free = memory - processBytes;
  const held = Math.max(minHeldBytes, free * heldPart);
  const byMemory = (free * connectionPart) / connectionBytes;
  const byDescriptors = (descriptors - fileDescriptors) * callerPart;
  const connections = Math.max(
    minConnections,
    Math.min(byMemory, byDescriptors),
  );
  return {
    heldBytes: Math.floor(Math.min(maxHeldBytes, held)),
    connections: Math.floor(Math.min(maxConnections, connections)),
  };
}
