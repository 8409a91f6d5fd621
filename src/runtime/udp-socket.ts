/** A UDP socket that speaks in packed endpoints and never throws on sending. */
import { createSocket, type Socket } from 'node:dgram';
import { Ok, type Result } from 'ts-results';
import {
  getEndpointAddress,
  getEndpointPort,
  formatEndpoint,
  packEndpoint,
} from '../core/endpoint';
import type { Endpoint } from '../environment';
import { createFailure, getErrorMessage, type HallholdError } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import { resolveAddress, SOCKET_BUFFER_BYTES, takeEarlySocket } from './early-sockets';

const MAXIMUM_CACHED_ADDRESSES = 10_000;

/** Receives one datagram. */
export type DatagramHandler = (payload: Buffer, from: Endpoint) => void;

/** A bound socket. */
export class UdpSocket {
  /** Dotted forms of endpoints sent to, since formatting costs as much as sending. */
  private readonly addressCache = new Map<Endpoint, string>();
  private sendErrors = 0;

  private constructor(
    private readonly socket: Socket,
    readonly endpoint: Endpoint,
  ) {}

  /** Datagrams the kernel would not take. */
  get sendErrorCount(): number {
    return this.sendErrors;
  }

  /**
   * Binds an address, or takes the socket that the launcher has bound for it; port 0 takes a free
   * one. Error 1402 when it is taken.
   * @param shared lets a successor bind the same address; the latest to bind receives
   */
  static bind(
    address: string,
    port: number,
    handler: DatagramHandler,
    shared = false,
  ): Promise<Result<UdpSocket, HallholdError>> {
    const early = takeEarlySocket(address, port);
    if (early) {
      return Promise.resolve(new Ok(UdpSocket.wrapSocket(early, handler)));
    }
    const socket = createSocket({ type: 'udp4', reuseAddr: shared, lookup: resolveAddress });
    return new Promise((resolve) => {
      socket.once('error', (error) => {
        socket.close();
        const text = `cannot bind ${address}:${port}: ${getErrorMessage(error)}`;
        resolve(createFailure(ResultCodes.addressInUse, text));
      });
      socket.bind(port, address, () => {
        socket.removeAllListeners('error');
        resolve(new Ok(UdpSocket.wrapSocket(socket, handler)));
      });
    });
  }

  /** Binds a packed endpoint. */
  static bindEndpoint(
    endpoint: Endpoint,
    handler: DatagramHandler,
    shared = false,
  ): Promise<Result<UdpSocket, HallholdError>> {
    return UdpSocket.bind(getEndpointAddress(endpoint), getEndpointPort(endpoint), handler, shared);
  }

  /** Without a callback, which would cost a turn of the queue for each datagram. */
  send(to: Endpoint, payload: Buffer): void {
    this.socket.send(payload, getEndpointPort(to), this.getAddress(to));
  }

  close(): void {
    this.socket.close();
  }

  toString(): string {
    return formatEndpoint(this.endpoint);
  }

  private static wrapSocket(socket: Socket, handler: DatagramHandler): UdpSocket {
    const { address, port } = socket.address();
    const wrapped = new UdpSocket(socket, packEndpoint(address, port));
    socket.on('error', () => wrapped.sendErrors++);
    socket.on('message', (payload, remote) => {
      handler(payload, packEndpoint(remote.address, remote.port));
    });
    socket.setRecvBufferSize(SOCKET_BUFFER_BYTES);
    socket.setSendBufferSize(SOCKET_BUFFER_BYTES);
    return wrapped;
  }

  private getAddress(to: Endpoint): string {
    const cached = this.addressCache.get(to);
    if (cached !== undefined) {
      return cached;
    }
    if (this.addressCache.size >= MAXIMUM_CACHED_ADDRESSES) {
      this.addressCache.clear();
    }
    const address = getEndpointAddress(to);
    this.addressCache.set(to, address);
    return address;
  }
}
