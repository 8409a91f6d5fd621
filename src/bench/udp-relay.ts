/** Baseline of the data path benchmark: two UDP hops that only copy bytes. */
import type { Endpoint } from '../environment';
import { UdpSocket } from '../runtime/udp-socket';

/** One hop, with a socket towards the next hop for each sender. */
class RelayHop {
  private listener!: UdpSocket;
  private readonly sockets = new Map<Endpoint, UdpSocket>();

  constructor(private readonly address: string) {}

  get endpoint(): Endpoint {
    return this.listener.endpoint;
  }

  async start(next: Endpoint): Promise<void> {
    const bound = await UdpSocket.bind(this.address, 0, (payload, from) => {
      const known = this.sockets.get(from);
      if (known) {
        known.send(next, payload);
      } else {
        void this.openSocket(from).then((socket) => socket.send(next, payload));
      }
    });
    this.listener = bound.unwrap();
  }

  stop(): void {
    this.listener.close();
    this.sockets.forEach((socket) => socket.close());
  }

  private async openSocket(from: Endpoint): Promise<UdpSocket> {
    const bound = await UdpSocket.bind(this.address, 0, (payload) =>
      this.listener.send(from, payload),
    );
    const socket = bound.unwrap();
    this.sockets.set(from, socket);
    return socket;
  }
}

/** Two hops in sequence, like balancer and agent on a caller's path. */
export class UdpRelay {
  private readonly firstHop: RelayHop;
  private readonly secondHop: RelayHop;

  constructor(address: string) {
    this.firstHop = new RelayHop(address);
    this.secondHop = new RelayHop(address);
  }

  get endpoint(): Endpoint {
    return this.firstHop.endpoint;
  }

  async start(backend: Endpoint): Promise<void> {
    await this.secondHop.start(backend);
    await this.firstHop.start(this.secondHop.endpoint);
  }

  stop(): void {
    this.firstHop.stop();
    this.secondHop.stop();
  }
}
