/**
 * Sockets that are bound before the program is loaded.
 *
 * Loading takes about as long as the start of Node itself. Datagrams that arrive meanwhile for a bound
 * socket are queued in the kernel; otherwise they are lost and the sender retransmits some hundred
 * milliseconds later. The launcher binds the sockets; the program adopts them when it binds the same
 * addresses, within the same turn of the event loop, so no datagram is read before that.
 */
import { createSocket, type Socket } from 'node:dgram';

/** Key of a global: launcher and program are separate bundles in one process and share no module. */
const REGISTRY_KEY = Symbol.for('hallhold.early-sockets');
const IPV4_FAMILY = 4;

/** Size of the kernel's receive and send buffers of each socket. */
export const SOCKET_BUFFER_BYTES = 4 * 1_024 * 1_024;

interface EarlySockets {
  readonly sockets: Map<string, Socket>;
  /** Time from process start until the last socket was bound. */
  boundAfterMs: number | undefined;
}

interface EarlySocketGlobal {
  [REGISTRY_KEY]?: EarlySockets;
}

function getRegistry(): EarlySockets {
  const globalObject = globalThis as EarlySocketGlobal;
  globalObject[REGISTRY_KEY] ??= { sockets: new Map<string, Socket>(), boundAfterMs: undefined };
  return globalObject[REGISTRY_KEY];
}

/** Skips the lookup: destinations are IP addresses, and Node's lookup delays each send by a tick. */
export function resolveAddress(
  address: string,
  _family: unknown,
  callback: (error: null, address: string, family: number) => void,
): void {
  callback(null, address, IPV4_FAMILY);
}

/**
 * Binds a UDP socket for the program to adopt.
 * @param endpoint of the form a.b.c.d:port. If it cannot be bound, the program tries again and
 *   reports the reason (error 1402).
 */
export function bindEarlySocket(endpoint: string): void {
  const [address, port] = endpoint.split(':');
  const socket = createSocket({ type: 'udp4', lookup: resolveAddress });
  socket.on('error', () => {
    getRegistry().sockets.delete(endpoint);
    socket.close();
  });
  socket.bind(Number(port), address, () => {
    getRegistry().sockets.set(endpoint, socket);
    getRegistry().boundAfterMs = Math.round(performance.now());
    socket.setRecvBufferSize(SOCKET_BUFFER_BYTES);
  });
}

/** Removes and returns the socket bound early for an address; undefined when there is none. */
export function takeEarlySocket(address: string, port: number): Socket | undefined {
  const endpoint = `${address}:${port}`;
  const { sockets } = getRegistry();
  const socket = sockets.get(endpoint);
  sockets.delete(endpoint);
  socket?.removeAllListeners('error');
  return socket;
}

/** Milliseconds from process start until the last early socket was bound; undefined without any. */
export function readEarlyBindTime(): number | undefined {
  return getRegistry().boundAfterMs;
}
