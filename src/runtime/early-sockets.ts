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
const REGISTRY = Symbol.for('hallhold.early-sockets');
const IPV4 = 4;

/** Bytes of datagrams that wait for a process, or to be sent. */
export const SOCKET_BUFFER_BYTES = 4 * 1_024 * 1_024;

interface EarlySockets {
  readonly sockets: Map<string, Socket>;
  /** Milliseconds from the start of the process until the last of them was bound. */
  boundAfter: number | undefined;
}

interface EarlySocketHolder {
  [REGISTRY]?: EarlySockets;
}

function registry(): EarlySockets {
  const holder = globalThis as EarlySocketHolder;
  holder[REGISTRY] ??= { sockets: new Map<string, Socket>(), boundAfter: undefined };
  return holder[REGISTRY];
}

/** Destinations are addresses already: Node's own look-up would cost a turn of the queue. */
export function resolveAddress(
  address: string,
  _family: unknown,
  callback: (error: null, address: string, family: number) => void,
): void {
  callback(null, address, IPV4);
}

/**
 * Binds a UDP socket for the program to take.
 * @param endpoint of the form a.b.c.d:port. One that cannot be bound is left to the program, which
 *   reports why (error 1402).
 */
export function bindEarly(endpoint: string): void {
  const [address, port] = endpoint.split(':');
  const socket = createSocket({ type: 'udp4', lookup: resolveAddress });
  socket.on('error', () => {
    registry().sockets.delete(endpoint);
    socket.close();
  });
  socket.bind(Number(port), address, () => {
    registry().sockets.set(endpoint, socket);
    registry().boundAfter = Math.round(performance.now());
    socket.setRecvBufferSize(SOCKET_BUFFER_BYTES);
  });
}

/** The socket that was bound early for an address, once; undefined for none. */
export function takeEarly(address: string, port: number): Socket | undefined {
  const endpoint = `${address}:${port}`;
  const { sockets } = registry();
  const socket = sockets.get(endpoint);
  sockets.delete(endpoint);
  socket?.removeAllListeners('error');
  return socket;
}

/** Milliseconds from the start of the process until its sockets were bound early; or undefined. */
export function readEarlyBindTime(): number | undefined {
  return registry().boundAfter;
}
