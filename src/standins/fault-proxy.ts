/** Proxies that disturb what passes: UDP datagrams and TCP connections. Seeded, so repeatable. */
import { createServer, connect, type Server, type Socket } from 'node:net';
import type { Endpoint } from '../environment';
import { getEndpointAddress, getEndpointPort } from '../core/endpoint';
import { SeededRandom } from '../simulation/seeded-random';
import { UdpSocket } from '../runtime/udp-socket';

/** Disturbances of datagrams; probabilities 0 to 1. */
export interface DatagramFaults {
  readonly loss: number;
  readonly duplication: number;
  readonly reordering: number;
  /** Milliseconds by which a reordered datagram is late. */
  readonly reorderDelay: number;
}

/** A UDP proxy: each sender gets a socket of its own towards the target, like a NAT. */
export class UdpFaultProxy {
  /** True while nothing passes. */
  isCut = false;
  private readonly random: SeededRandom;
  private readonly sockets = new Map<Endpoint, Promise<UdpSocket>>();
  private listener: UdpSocket | undefined;

  constructor(
    private readonly listen: Endpoint,
    private readonly target: Endpoint,
    private readonly faults: DatagramFaults,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
  }

  async start(): Promise<void> {
    const bound = await UdpSocket.bindEndpoint(this.listen, (payload, from) => {
      void this.getSocket(from).then((socket) =>
        this.applyFaults(() => socket.send(this.target, payload)),
      );
    });
    this.listener = bound.unwrap();
  }

  async stop(): Promise<void> {
    this.listener?.close();
    (await Promise.all(this.sockets.values())).forEach((socket) => socket.close());
  }

  private getSocket(sender: Endpoint): Promise<UdpSocket> {
    const existing = this.sockets.get(sender);
    if (existing) {
      return existing;
    }
    const created = UdpSocket.bind(getEndpointAddress(this.listen), 0, (payload) =>
      this.applyFaults(() => this.listener?.send(sender, payload)),
    ).then((bound) => bound.unwrap());
    this.sockets.set(sender, created);
    return created;
  }

  private applyFaults(deliver: () => void): void {
    if (this.isCut || this.random.next() < this.faults.loss) {
      return;
    }
    const copies = this.random.next() < this.faults.duplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (this.random.next() < this.faults.reordering) {
        setTimeout(deliver, this.random.next() * this.faults.reorderDelay);
      } else {
        deliver();
      }
    }
  }
}

/** A TCP proxy that can be cut: connections break and new ones are refused. */
export class TcpFaultProxy {
  private readonly connections = new Set<Socket>();
  private readonly server: Server;
  private isCut = false;

  constructor(
    private readonly listen: Endpoint,
    private readonly target: Endpoint,
  ) {
    this.server = createServer((incoming) => this.forwardConnection(incoming));
  }

  start(): Promise<void> {
    return new Promise((resolve) => {
      this.server.listen(getEndpointPort(this.listen), getEndpointAddress(this.listen), resolve);
    });
  }

  /** Breaks every connection and refuses new ones, or lets them pass again. */
  setCut(cut: boolean): void {
    this.isCut = cut;
    if (cut) {
      this.connections.forEach((connection) => connection.destroy());
    }
  }

  stop(): void {
    this.setCut(true);
    this.server.close();
  }

  private forwardConnection(incoming: Socket): void {
    if (this.isCut) {
      incoming.destroy();
      return;
    }
    const outgoing = connect(getEndpointPort(this.target), getEndpointAddress(this.target));
    for (const [one, other] of [
      [incoming, outgoing],
      [outgoing, incoming],
    ] as const) {
      this.connections.add(one);
      one.on('error', () => other.destroy());
      one.on('close', () => {
        other.destroy();
        this.connections.delete(one);
      });
      one.pipe(other);
    }
  }
}
