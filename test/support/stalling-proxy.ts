/** A TCP proxy on loopback whose open connections can stall without a reset. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

const LOOPBACK = '127.0.0.1';

/** The proxy in front of one server. */
export class StallingProxy {
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  /** @param port the server's port on loopback */
  constructor(private readonly port: number) {
    this.server = createServer((client) => this.forwardConnection(client));
  }

  /** Listens on a free port; resolves to the address as text. */
  async start(): Promise<string> {
    await new Promise<void>((done) => this.server.listen(0, LOOPBACK, done));
    return `${LOOPBACK}:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  /** Stops forwarding on the connections that are open now; new ones work. */
  stallConnections(): void {
    for (const socket of this.sockets) {
      socket.unpipe();
      socket.pause();
    }
  }

  private forwardConnection(client: Socket): void {
    const server = connect(this.port, LOOPBACK);
    for (const [one, other] of [
      [client, server],
      [server, client],
    ] as const) {
      this.sockets.add(one);
      one.on('error', () => undefined);
      one.on('close', () => {
        this.sockets.delete(one);
        other.destroy();
      });
      one.pipe(other);
    }
  }
}
