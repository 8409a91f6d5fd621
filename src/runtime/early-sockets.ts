/**
 * Sockets that are bound before the program is loaded.
 *
 * Loading takes about as long as the start of Node itself. What arrives meanwhile for a socket that
 * is bound waits in the kernel; without it, the sender finds out by its own timer, some hundred
 * milliseconds later. A launcher binds them first; the program takes them when it binds the same
 * addresses, within the same turn of the event loop, so no datagram is read before that.
 */
import { createSocket, type Socket } from 'node:dgram';

/** The launcher and the program are two bundles of one process: they meet at this name. */
const REGISTRY_KEY = Symbol.for('hallhold.early-sockets');
const IPV4_FAMILY = 4;

/** Bytes of datagrams that wait for a process, or to be sent. */
export const SOCKET_BUFFER_BYTES = 4 * 1_024 * 1_024;

interface EarlySockets {
  readonly sockets: Map<string, Socket>;
  /** Milliseconds from the start of the process until the last of them was bound. */
  boundAfterMs: number | undefined;
}

interface EarlySocketGlobal {
  [REGISTRY_KEY]?: EarlySockets;
}

function getRegistry(): EarlySockets {
  const holder = globalThis as EarlySocketGlobal;
  holder[REGISTRY_KEY] ??= { sockets: new Map<string, Socket>(), boundAfterMs: undefined };
  return holder[REGISTRY_KEY];
}

/** Destinations are addresses already: Node's own look-up would cost a turn of the queue. */
export function resolveAddress(
  address: string,
  _family: unknown,
  callback: (error: null, address: string, family: number) => void,
): void {
  callback(null, address, IPV4_FAMILY);
}

/**
 * Binds a UDP socket for the program to take.
 * @param endpoint of the form a.b.c.d:port. One that cannot be bound is left to the program, which
 *   reports why (error 1402).
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

/** The socket that was bound early for an address, once; undefined for none. */
export function takeEarlySocket(address: string, port: number): Socket | undefined {
  const endpoint = `${address}:${port}`;
  const { sockets } = getRegistry();
  const socket = sockets.get(endpoint);
  sockets.delete(endpoint);
  socket?.removeAllListeners('error');
  return socket;
}

/** Milliseconds from the start of the process until its sockets were bound early; or undefined. */
export function readEarlyBindTime(): number | undefined {
  return getRegistry().boundAfterMs;
}
