/** A UDP socket with packed endpoints, whose `send` never throws. */
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
  /** Cache of formatted destination addresses, since formatting costs as much as sending. */
  private readonly addressCache = new Map<Endpoint, string>();
  private sendErrors = 0;
  /** Called with the reason when a datagram is not sent. */
  onSendError: (reason: string) => void = () => undefined;

  private constructor(
    private readonly socket: Socket,
    readonly endpoint: Endpoint,
  ) {}

  /** Number of socket errors, such as datagrams rejected by the kernel. */
  get sendErrorCount(): number {
    return this.sendErrors;
  }

  /**
   * Binds an address, or adopts the socket that the launcher has bound for it; port 0 selects a free
   * port. Error 1402 when the address is in use.
   * @param shared lets a successor bind the same address; the latest socket receives the datagrams
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

  /**
   * Sends without a callback, which would cost an event loop tick per datagram. Node throws where the
   * port is 0 or the socket is closed.
   */
  send(to: Endpoint, payload: Buffer): void {
    try {
      this.socket.send(payload, getEndpointPort(to), this.getAddress(to));
    } catch (error) {
      this.recordSendError(`${formatEndpoint(to)}: ${getErrorMessage(error)}`);
    }
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
    socket.on('error', (error) => wrapped.recordSendError(getErrorMessage(error)));
    socket.on('message', (payload, remote) => {
      handler(payload, packEndpoint(remote.address, remote.port));
    });
    socket.setRecvBufferSize(SOCKET_BUFFER_BYTES);
    socket.setSendBufferSize(SOCKET_BUFFER_BYTES);
    return wrapped;
  }

  private recordSendError(reason: string): void {
    this.sendErrors++;
    this.onSendError(reason);
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
