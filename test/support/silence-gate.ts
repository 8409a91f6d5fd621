/** A TCP relay on loopback whose open connections can fall silent without a reset. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

const LOOPBACK = '127.0.0.1';

/** The relay before one server. */
export class SilenceGate {
  private readonly open = new Set<Socket>();
  private readonly server: Server;

  /** @param port where the server listens on loopback */
  constructor(private readonly port: number) {
    this.server = createServer((client) => this.relay(client));
  }

  /** Listens; answers the address as text. */
  async start(): Promise<string> {
    await new Promise<void>((done) => this.server.listen(0, LOOPBACK, done));
    return `${LOOPBACK}:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.open.forEach((socket) => socket.destroy());
    this.server.close();
  }

  /** From now on nothing passes on the connections that are open; new ones work. */
  silence(): void {
    for (const socket of this.open) {
      socket.unpipe();
      socket.pause();
    }
  }

  private relay(client: Socket): void {
    const server = connect(this.port, LOOPBACK);
    for (const [one, other] of [
      [client, server],
      [server, client],
    ] as const) {
      this.open.add(one);
      one.on('error', () => undefined);
      one.on('close', () => {
        this.open.delete(one);
        other.destroy();
      });
      one.pipe(other);
    }
  }
}
