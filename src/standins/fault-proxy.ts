/** Fault-injecting proxies for UDP and TCP; the seed makes the UDP faults reproducible. */
import { createServer, connect, type Server, type Socket } from 'node:net';
import type { Endpoint } from '../environment';
import { getEndpointAddress, getEndpointPort } from '../core/endpoint';
import { SeededRandom } from '../simulation/seeded-random';
import { UdpSocket } from '../runtime/udp-socket';

/** Faults of datagrams; probabilities from 0 to 1. */
export interface DatagramFaults {
  readonly loss: number;
  readonly duplication: number;
  readonly reordering: number;
  /** Maximum delay of a reordered datagram in milliseconds. */
  readonly reorderDelay: number;
}

/** UDP proxy with one socket towards the target per sender, like a NAT. */
export class UdpFaultProxy {
  /** Whether all datagrams are dropped. */
  isCut = false;
  private isStopped = false;
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

  /** Closes all sockets; datagrams that are still delayed are dropped. */
  async stop(): Promise<void> {
    this.isStopped = true;
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

  private deliverIfRunning(deliver: () => void): void {
    if (!this.isStopped) {
      deliver();
    }
  }

  private applyFaults(deliver: () => void): void {
    if (this.isCut || this.random.next() < this.faults.loss) {
      return;
    }
    const copies = this.random.next() < this.faults.duplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (this.random.next() < this.faults.reordering) {
        const delay = this.random.next() * this.faults.reorderDelay;
        setTimeout(() => this.deliverIfRunning(deliver), delay);
      } else {
        this.deliverIfRunning(deliver);
      }
    }
  }
}

/** TCP proxy that can be cut: connections are closed and new ones refused. */
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

  /** Closes all connections and refuses new ones, or accepts connections again. */
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
